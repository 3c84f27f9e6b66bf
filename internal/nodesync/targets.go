package nodesync

import (
	"time"

	"galenatrestle/internal/boottime"
)

// target is one node to call. For a seed, only the address is known.
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

// targets returns the nodes to call in a round: mostly alive nodes, and one or more
// silent nodes or seeds if there are any.
func (s *Sync) targets() []target {
	now := s.options.Clock()
	chosen := s.aliveTargets(now)
	// Probe at least one silent node in each round.
	missing := max(callsPerRound-len(chosen), 0) + 1
	return append(chosen, s.silentTargets(missing, now)...)
}

// silentTargets returns up to limit random silent nodes and unanswered seeds.
func (s *Sync) silentTargets(limit int, now boottime.Instant) []target {
	threshold := silenceThreshold(s.options.Nodes.KnownCount(now) - 1)
	sampled := targetsOf(s.options.Nodes.sample(limit, s.intN, func(r *record) bool {
		return r.retained(now) && !r.seenWithin(aliveTimeout, now) && (r.candidate || !r.seenWithin(threshold, now))
	}))
	for _, address := range s.options.Nodes.unansweredSeeds(s.options.Self().PeerAddress, now) {
		sampled = append(sampled, target{address: address})
	}
	s.shuffle(sampled)
	return sampled[:min(len(sampled), limit)]
}

// nodesSeenPerTimeout is a low estimate of the number of nodes that a node hears of
// within aliveTimeout.
const nodesSeenPerTimeout = 64

// silenceThreshold is how long a node must be silent to be probed. In a fleet of hundreds
// most nodes exceed aliveTimeout, and probing them all would dominate the calls.
func silenceThreshold(nodes int) time.Duration {
	return aliveTimeout * time.Duration(max(1, nodes/nodesSeenPerTimeout))
}

const (
	// nonHubRounds is the interval, in rounds, of calls to a random node in addition to
	// the hubs, so that state spreads even if the hubs fail.
	nonHubRounds = 2
	// crossZoneRounds is the interval, in rounds, at which that node may be in another
	// zone. Traffic between zones costs money, and the hubs already exchange state across
	// zones.
	crossZoneRounds = 8
)

func (s *Sync) nonHubTargets(zone string, now boottime.Instant) []target {
	round := s.rounds.Add(1)
	if round%nonHubRounds != 0 {
		return nil
	}
	crossZone := round%crossZoneRounds == 0
	return targetsOf(s.options.Nodes.sample(1, s.intN, func(r *record) bool {
		return r.seenWithin(aliveTimeout, now) && (crossZone || r.AvailabilityZone == zone)
	}))
}

// aliveTargets returns the recently seen nodes to call in a round. Without hubs they are
// random nodes. With hubs, a member calls its hub, a hub calls all other hubs, and both
// sometimes call a random node too.
func (s *Sync) aliveTargets(now boottime.Instant) []target {
	self := s.options.Self()
	hubs := s.hubs(now)
	ownHub := hubFor(self, hubs)
	if ownHub.Name == "" {
		return targetsOf(s.options.Nodes.sample(callsPerRound, s.intN, func(r *record) bool { return r.seenWithin(aliveTimeout, now) }))
	}
	targets := s.nonHubTargets(self.AvailabilityZone, now)
	if ownHub.Name != self.Name {
		return append(targets, targetOf(ownHub))
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

func (s *Sync) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.options.Rand.IntN(n)
}
