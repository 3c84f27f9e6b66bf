package fleetsim

import (
	"fmt"
	"math/rand/v2"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/returns"
)

// node is one node of the product: its decisions and what it believes.
type node struct {
	name   string
	zone   string
	index  int
	placer *placement.Placer
	gates  overload.Gates
	random *rand.Rand
	// limits are the rates that it knows.
	limits  *ratelimit.Table
	permits *ratelimit.Permits
	// sharing is nil without fair admission.
	sharing *fairshare.Sharing
	// returns is nil if refused callers are told when to return without a schedule.
	returns *returns.Controller
	// toldReturns and heardReturns count the returns that were told to the hubs and heard from them.
	toldReturns  uint64
	heardReturns int
}

// newNodes returns nodes that know the engines.
func newNodes(s *Scenario, replicas *replica.Set) []*node {
	nodes := make([]*node, s.Nodes)
	for i := range nodes {
		random := rand.New(rand.NewPCG(s.Seed, uint64(1000+i)))
		zone := fmt.Sprintf("z%d", i%zones)
		n := &node{name: fmt.Sprintf("vm-%d", i), zone: zone, index: i, placer: placement.NewPlacer(zone, replicas, random), random: random}
		n.limits = ratelimit.NewTable(func() boottime.Instant { return 0 })
		n.permits = ratelimit.NewPermits(n.limits)
		n.placer.SetPermits(n.permits)
		if s.Speeds.Learned != nil {
			n.placer.SetReplicaSpeeds(s.Speeds.Learned)
		}
		n.setUpZones(s.Zones)
		if s.FairAdmission {
			n.sharing = fairshare.New(fairshare.Options{Window: fairWindow, MinShare: leastShare, StartedAt: epoch})
		}
		if s.MissCost > 0 {
			n.placer.SetObjectivePlacement(s.MissCost)
		}
		if s.SeeAll {
			n.placer.ConsiderAllReplicas()
		}
		if s.Returns {
			n.returns = returns.NewController(rand.New(rand.NewPCG(s.Seed, uint64(5000+i))))
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
