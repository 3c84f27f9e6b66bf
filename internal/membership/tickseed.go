package membership

import (
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// AddSeed adds a peer address from the settings.
func (t *Table) AddSeed(address string) {
	if address != t.self.wire.PeerAddress {
		t.seeds.addListed("", address)
	}
}

// tickSeed calls one address that is not yet known as a member.
func (t *Table) tickSeed(now time.Time) []Call {
	if now.Before(t.nextSeed) {
		return nil
	}
	t.nextSeed = now.Add(seedInterval)
	due := t.seeds.due(now, t.seedKnown)
	if len(due) == 0 {
		return nil
	}
	chosen := due[t.rng.IntN(len(due))]
	gossip := t.gossip(now, nil)
	gossip.Sender = t.self.wire
	return []Call{{
		Kind:    CallSeed,
		Target:  chosen.name,
		Address: chosen.address,
		Request: &membershipv1.SyncRequest{Gossip: gossip, WantAll: len(t.entries) == 1},
	}}
}

// seedKnown reports whether a seed is a member that is believed to live.
func (t *Table) seedKnown(s *seed) bool {
	if e, ok := t.entries[s.name]; ok && e.wire.Liveness != dead {
		return true
	}
	for _, e := range t.entries {
		if e.wire.PeerAddress == s.address && e.wire.Liveness != dead {
			return true
		}
	}
	return false
}
