package placement

import (
	"time"

	"galenatrestle/internal/zonetraffic"
)

// stepFlow adjusts the parts of the flow that may leave, from the loads of the side's replicas.
func (u *upstream) stepFlow(now time.Time, f *zoneFlow, r *Request, side []*replicaState) {
	v := u.zones
	zones := make([]zonetraffic.Zone, len(v.names))
	slots := make([]float64, len(v.names))
	for _, s := range side {
		z := &zones[s.zoneIndex]
		if s.failureScoreAt(now) > maxUsableFailureScore {
			continue
		}
		running := float64(s.running + s.peersRunning)
		z.Replicas++
		z.WaitMS += running*runningCost + u.queueMS(r, s)
		z.FreeSlots += running
		slots[s.zoneIndex] += float64(s.replica.Slots)
	}
	for i := range zones {
		z := &zones[i]
		z.Name = v.names[i]
		z.WaitMS /= float64(max(z.Replicas, 1))
		if slots[i] > 0 {
			z.FreeSlots = 1 - z.FreeSlots/slots[i]
		} else {
			z.FreeSlots = 1
		}
		if i > 0 {
			z.LeaveMS = v.Policy.LeaveMS(v.home, z.Name, v.RoundTrips.ExtraMS(v.home, z.Name), f.avgBytes)
		}
	}
	f.homeUsable = zones[0].Replicas
	input := zonetraffic.Input{Home: zones[0], Away: zones[1:]}
	if !u.peersAt.IsZero() {
		input.Age = now.Sub(u.peersAt)
	}
	for _, c := range f.flow.Step(now, v.Policy.MaxShare, &input) {
		if v.OnChange != nil {
			v.OnChange(v.upstream, f.name, c)
		}
	}
	v.Metrics.SetFlow(v.upstream, f.name, &f.flow)
}

// queueMS returns the expected wait of a new request of this kind at the replica.
func (u *upstream) queueMS(r *Request, s *replicaState) float64 {
	if r.PromptTokens == 0 {
		return u.slotQueueMS(s)
	}
	return u.prefillSpeed.PrefillMS(s.pendingPrefill()) + u.slotWaitMS(s, r.Rank)
}
