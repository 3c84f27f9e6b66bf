package membership

import (
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// AddSeed adds a configured peer address as a seed.
func (t *Table) AddSeed(address string) {
	if address != t.self.record.PeerAddress {
		t.seeds.addListed("", address)
	}
}

// tickSeed calls one seed that is not a member, or up to pushFanout while this node
// has no other members.
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
		gossip.Sender = t.self.record
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
	if e, ok := t.entries[s.name]; ok && e.record.Liveness != dead {
		return true
	}
	for _, e := range t.entries {
		if e.record.PeerAddress == s.address && e.record.Liveness != dead {
			return true
		}
	}
	return false
}
