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

func (t target) timeout() time.Duration {
	if t.name == "" {
		return joinTimeout
	}
	return callTimeout
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
	candidatesOnly := len(chosen) > 0 && s.Role() == Member && s.rounds.Load()%memberProbeRounds != 0
	return append(chosen, s.silentTargets(missing, candidatesOnly, now)...)
}

// memberProbeRounds is the interval, in rounds, at which a member probes nodes that have become
// silent. In a large fleet it hears of most nodes too rarely to tell; the hubs probe in each
// round.
const memberProbeRounds = 8

// silentTargets returns up to limit random silent nodes and unanswered seeds. With
// candidatesOnly set, only those silent nodes that were never seen are returned.
func (s *Sync) silentTargets(limit int, candidatesOnly bool, now boottime.Instant) []target {
	threshold := silenceThreshold(s.options.Nodes.KnownCount(now) - 1)
	sampled := targetsOf(s.options.Nodes.sample(limit, s.intN, func(r *record) bool {
		silent := !candidatesOnly && !r.seenWithin(threshold, now)
		return r.retained(now) && !r.seenWithin(aliveTimeout, now) && (r.candidate || silent)
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

// nonHubTargets returns the node to call in addition to the hubs in a round, if any.
func (s *Sync) nonHubTargets(zone string, now boottime.Instant) []target {
	round := s.rounds.Add(1)
	if round%nonHubRounds != 0 {
		return nil
	}
	if round%crossZoneRounds == 0 {
		if t, found := s.partnerOf(&s.remotePartner, now, func(r *record) bool { return r.AvailabilityZone != zone }); found {
			return []target{t}
		}
	}
	if t, found := s.partnerOf(&s.zonePartner, now, func(r *record) bool { return r.AvailabilityZone == zone }); found {
		return []target{t}
	}
	return nil
}

// aliveTargets returns the recently seen nodes to call in a round. Without hubs they are
// random nodes. With hubs, a member calls its hub, a hub calls other hubs, and both sometimes
// call a random node too.
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
	return append(targets, targetsOf(hubsToCall(self, hubs))...)
}

// maxHubsCallingAll is the number of hubs up to which each calls all others. With more, their
// calls would grow with the square of the fleet.
const maxHubsCallingAll = 16

// callsThroughPrimary reports whether only the primary hubs call other availability zones.
func callsThroughPrimary(hubs []Node) bool { return len(hubs) > maxHubsCallingAll }

// hubsToCall returns the hubs that a hub calls.
func hubsToCall(self Node, hubs []Node) []Node {
	callsAll := !callsThroughPrimary(hubs)
	isPrimary := roleOf(self, hubs) == PrimaryHub
	var list []Node
	for i, hub := range hubs {
		sameZone := hub.AvailabilityZone == self.AvailabilityZone
		if hub.Name != self.Name && (callsAll || sameZone || isPrimary && isFirstOfZone(hubs, i)) {
			list = append(list, hub)
		}
	}
	return list
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
