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

// tickSeed calls one seed that is not a member, or several while this node is
// alone.
func (t *Table) tickSeed(now time.Time) []Call {
	if now.Before(t.nextSeed) {
		return nil
	}
	t.nextSeed = now.Add(seedInterval)
	due := t.seeds.due(now, t.isMemberSeed)
	if len(due) == 0 {
		return nil
	}
	t.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	alone := len(t.entries) == 1
	if !alone {
		due = due[:1]
	}
	var calls []Call
	for _, s := range due[:min(pushFanout, len(due))] {
		gossip := t.gossip(now, nil)
		gossip.Sender = t.self.wire
		calls = append(calls, Call{
			Kind:    CallSeed,
			Target:  s.name,
			Address: s.address,
			Request: &membershipv1.SyncRequest{Gossip: gossip, WantAll: alone},
		})
	}
	return calls
}

func (t *Table) isMemberSeed(s *seed) bool {
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
