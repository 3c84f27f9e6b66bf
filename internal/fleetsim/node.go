package fleetsim

import (
	"fmt"
	"math/rand/v2"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// node is one node of the product: its decisions and what it believes.
type node struct {
	name   string
	placer *placement.Placer
	gates  overload.Gates
	random *rand.Rand
	// limits are the rates that it knows.
	limits  *ratelimit.Table
	permits *ratelimit.Permits
}

// newNodes returns nodes that know the engines.
func newNodes(s *Scenario, replicas *replica.Set) []*node {
	nodes := make([]*node, s.Nodes)
	for i := range nodes {
		random := rand.New(rand.NewPCG(s.Seed, uint64(1000+i)))
		zone := fmt.Sprintf("z%d", i%zones)
		n := &node{name: fmt.Sprintf("vm-%d", i), placer: placement.NewPlacer(zone, replicas, random), random: random}
		n.limits = ratelimit.NewTable(func() boottime.Instant { return 0 })
		n.permits = ratelimit.NewPermits(n.limits)
		n.placer.SetPermits(n.permits)
		if s.MissCost > 0 {
			n.placer.SetObjectivePlacement(s.MissCost)
		}
		if s.SeeAll {
			n.placer.ConsiderAllReplicas()
		}
		nodes[i] = n
	}
	return nodes
}

// zones is the number of availability zones.
const zones = 3

// listing registers the engines.
func listing(s *Scenario, engines []*engine) replica.Listing {
	l := replica.Listing{Revision: 1}
	slots := s.Model.Slots
	if s.PlacesUntold {
		slots = 0
	}
	for i, e := range engines {
		l.Replicas = append(l.Replicas, replica.Replica{
			ID: e.id, Upstream: upstream, Address: e.id, AvailabilityZone: fmt.Sprintf("z%d", i%zones), Slots: slots,
		})
	}
	return l
}
