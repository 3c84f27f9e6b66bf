package membership

import membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"

// cloneMember must copy every field of the message.
func cloneMember(m *membershipv1.Member) *membershipv1.Member {
	return &membershipv1.Member{
		Name:             m.Name,
		EntryAddress:     m.EntryAddress,
		PeerAddress:      m.PeerAddress,
		AvailabilityZone: m.AvailabilityZone,
		Region:           m.Region,
		Incarnation:      m.Incarnation,
		Liveness:         m.Liveness,
		Leaving:          m.Leaving,
	}
}
