package nodesync

import (
	"time"

	"galenatrestle/internal/boottime"
)

// target is one node to ask; only the address of a seed is known.
type target struct {
	name    string
	address string
}

func targetOf(n Node) target { return target{n.Name, n.PeerAddress} }

func targetsOf(nodes []Node) []target {
	targets := make([]target, 0, len(nodes))
	for _, n := range nodes {
		targets = append(targets, targetOf(n))
	}
	return targets
}

// targets draws the nodes of a round: mostly nodes that are alive, and now and
// then one that was not heard of lately or a seed.
func (s *Sync) targets() []target {
	now := s.options.Clock()
	chosen := s.withHubs(now)
	// One silent node at least is looked for, however many are asked.
	missing := max(callsPerRound-len(chosen), 0) + 1
	return append(chosen, s.silent(missing, now)...)
}

// silent draws up to most of the nodes that were not heard of lately and of the seeds
// that have not answered.
func (s *Sync) silent(most int, now boottime.Instant) []target {
	silentAfter := silentAfter(s.options.Nodes.KnownCount(now) - 1)
	drawn := targetsOf(s.options.Nodes.draw(most, s.intN, func(r *record) bool {
		return r.remembered(now) && !r.heardWithin(aliveFor, now) && (r.unmet || !r.heardWithin(silentAfter, now))
	}))
	for _, address := range s.options.Nodes.unansweredSeeds(s.options.Self().PeerAddress, now) {
		drawn = append(drawn, target{address: address})
	}
	s.shuffle(drawn)
	return drawn[:min(len(drawn), most)]
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

// stray is the node to ask besides the hubs in the round, if any.
func (s *Sync) stray(zone string, now boottime.Instant) []target {
	round := s.rounds.Add(1)
	if round%strayRounds != 0 {
		return nil
	}
	across := round%acrossRounds == 0
	return targetsOf(s.options.Nodes.draw(1, s.intN, func(r *record) bool {
		return r.heardWithin(aliveFor, now) && (across || r.AvailabilityZone == zone)
	}))
}

// withHubs is the nodes to ask in a round of those that are alive: in a fleet with
// hubs the own hub, for a hub all others, and now and then another node; else some
// drawn at random.
func (s *Sync) withHubs(now boottime.Instant) []target {
	self := s.options.Self()
	hubs := s.hubs(now)
	own := hubFor(self, hubs)
	if own.Name == "" {
		return targetsOf(s.options.Nodes.draw(callsPerRound, s.intN, func(r *record) bool { return r.heardWithin(aliveFor, now) }))
	}
	targets := s.stray(self.AvailabilityZone, now)
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

// intN returns a random number below n.
func (s *Sync) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Rand.IntN(n)
}
