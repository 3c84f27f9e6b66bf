package nodesync

import (
	"slices"
	"time"

	"galenatrestle/internal/boottime"
)

// target is one node to ask; only the address of a seed is known.
type target struct {
	name    string
	address string
	zone    string
}

func targetOf(n Node) target { return target{n.Name, n.PeerAddress, n.AvailabilityZone} }

// targets draws the nodes of a round: mostly nodes that are alive, and now and
// then one that was not heard of lately or a seed.
func (s *Sync) targets() []target {
	now := s.options.Clock()
	var alive, silent []target
	nodes := s.options.Nodes.all(now)
	silentAfter := silentAfter(len(nodes))
	for _, n := range nodes {
		switch age := now.Sub(n.HeardAt); {
		case age < aliveFor:
			alive = append(alive, targetOf(n))
		case n.unmet || age >= silentAfter:
			silent = append(silent, targetOf(n))
		}
	}
	for _, address := range s.options.Nodes.unansweredSeeds(s.options.Self().PeerAddress) {
		silent = append(silent, target{address: address})
	}
	s.shuffle(alive)
	s.shuffle(silent)
	chosen := s.withHubs(alive, now)
	// One silent node at least is looked for, however many are asked.
	missing := max(callsPerRound-len(chosen), 0) + 1
	return append(chosen, silent[:min(len(silent), missing)]...)
}

// freshNodes is the number of nodes of which a node hears within aliveFor: some
// thirty are told in each answer.
const freshNodes = 64

// silentAfter is the age of the last sign from which one of so many nodes is looked
// for. In a fleet of hundreds most have given none for aliveFor, and looking for
// them would be most of the calls.
func silentAfter(nodes int) time.Duration {
	return aliveFor * time.Duration(max(1, nodes/freshNodes))
}

const (
	// strayRounds is the number of rounds of which one asks a node besides the hubs,
	// so that news spread also where the hubs fail.
	strayRounds = 2
	// acrossRounds is the number of rounds of which one asks such a node of any
	// availability zone; bytes between zones are paid for, and the hubs bring the
	// news of the others.
	acrossRounds = 8
)

// stray is the node to ask besides the hubs in the round, if any: one of the drawn.
func stray(drawn []target, zone string, round uint64) []target {
	if round%strayRounds != 0 {
		return nil
	}
	if round%acrossRounds != 0 {
		drawn = slices.DeleteFunc(drawn, func(t target) bool { return t.zone != zone })
	}
	return drawn[:min(len(drawn), 1)]
}

// withHubs is the nodes to ask in a round, of those drawn at random: in a fleet with
// hubs the own hub, for a hub all others, and now and then another node.
func (s *Sync) withHubs(drawn []target, now boottime.Instant) []target {
	self := s.options.Self()
	hubs := s.hubs(now)
	own := hubFor(self, hubs)
	if own.Name == "" {
		return drawn[:min(len(drawn), callsPerRound)]
	}
	targets := stray(drawn, self.AvailabilityZone, s.rounds.Add(1))
	if own.Name != self.Name {
		return append(targets, targetOf(own))
	}
	for _, hub := range hubs {
		if hub.Name != self.Name {
			targets = append(targets, targetOf(hub))
		}
	}
	return targets
}

func (s *Sync) shuffle(list []target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
