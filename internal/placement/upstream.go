package placement

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"galenatrestle/internal/enginespeed"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// initialWorkMS is a plain service's expected time before any was seen.
const initialWorkMS = 30.0

// workWeight is the weight of one observation of a plain service's time.
const workWeight = 0.05

// upstream is the replicas of one upstream.
type upstream struct {
	zone string

	mu     sync.Mutex
	rand   *rand.Rand
	states map[string]*state
	// all is the states as a list, which is much quicker to go through.
	all []*state
	// followed is the replicas that states were made for, openNow the states of
	// those that take new requests, in the order of the split.
	followed []replica.Replica
	openNow  []*state
	// workMS is the usual time of a plain service's answer.
	workMS float64
	// answerMS is the usual time from the first byte of an engine's answer to its end;
	// zero: none was seen.
	answerMS float64
	// runningOwn and runningAll are the running requests of this node and of all,
	// averaged.
	runningOwn, runningAll float64
	// seeAll has all replicas looked at.
	seeAll bool
	// permits are those for replicas that name a rate; nil: none is kept to.
	permits *ratelimit.Permits
	// reading is the learned speed at which the replicas read prompts.
	reading *enginespeed.Estimator
	// prompts is the usual prompt of each class, in tokens.
	prompts map[string]float64
	split   split
	// placed is where prompts were sent lately, for the other nodes.
	placed placements
	// waiting is room for backlog.
	waiting []int
}

func newUpstream(zone string, random *rand.Rand) *upstream {
	return &upstream{zone: zone, rand: random, states: make(map[string]*state), workMS: initialWorkMS, reading: enginespeed.NewEstimator(), prompts: make(map[string]float64)}
}

// follow takes the replicas that are known now. The lock is held.
func (u *upstream) follow(replicas []replica.Replica) {
	if sameSlice(u.followed, replicas) {
		return
	}
	u.followed = replicas
	if len(u.states) > 2*len(replicas)+8 {
		u.forget(replicas)
	}
	for _, r := range replicas {
		if s, ok := u.states[r.ID]; ok && s.replica.StartedAt == r.StartedAt {
			s.replica = r
			continue
		}
		// A process that started again under its old identity holds nothing of before.
		u.states[r.ID] = &state{replica: r}
	}
	u.all = slices.Collect(maps.Values(u.states))
	u.openNow = u.openNow[:0]
	for _, r := range open(replicas) {
		u.openNow = append(u.openNow, u.states[r.ID])
	}
}

// sameSlice says whether both are one slice. The set of replicas hands out the
// same one until something changes.
func sameSlice(a, b []replica.Replica) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// forget drops the states of replicas that are gone and have no attempt.
func (u *upstream) forget(replicas []replica.Replica) {
	listed := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		listed[r.ID] = true
	}
	for id, s := range u.states {
		if !listed[id] && s.running == 0 {
			delete(u.states, id)
		}
	}
}

// decision is a replica and what it was chosen by.
type decision struct {
	state *state
	cost  float64
	// cached is the tokens of the prompt that the replica has, or copies from source.
	cached int
	// source is the replica to copy from; nil: none.
	source *state
}

// choose returns the cheapest of the replicas that take new requests, or nil.
func (u *upstream) choose(now time.Time, r *Request, replicas []replica.Replica) *decision {
	u.follow(replicas)
	u.learnPrompt(r)
	open := u.openNow
	light := u.lightSide(now, r, open)
	side := open[light:]
	if !u.heavy(r) {
		side = open[:light]
	}
	where := findPrefix(now, r, open, side)
	reread := rereadCost * (1 + u.backlog(side)/backlogDoubles)
	share := u.candidateShare(side)
	best, least := u.cheapest(now, r, light, &where, reread, share)
	if best == nil && share < 1 {
		// All that were drawn name rates and have no permit left.
		best, least = u.cheapest(now, r, light, &where, reread, 1)
	}
	if best == nil {
		return nil
	}
	return decide(now, r, best, least, &where)
}

// cheapest is the replica of the lowest cost, and that cost, among a share of the open ones
// of which the first take light requests; nil: none of these may be used.
func (u *upstream) cheapest(now time.Time, r *Request, light int, where *prefix, reread, share float64) (*state, float64) {
	var best *state
	least := math.Inf(1)
	limits := u.rateLimits(now)
	limits.avoid = r.ExcludeRateLimited
	for i, s := range u.openNow {
		if !u.isCandidate(s, where, share) && (best != nil || i < len(u.openNow)-1) {
			continue
		}
		// Equal costs are split at random, so that nodes with the same view
		// do not all take the same replica.
		cost := u.cost(now, r, s, where, reread)*(1+costJitter*u.rand.Float64()) + tieSpread*u.rand.Float64()
		cost += u.sideCost(r, i < light)
		if cost < least && limits.allow(s) {
			best, least = s, cost
		}
	}
	return best, least
}

// decide is the decision for the replica.
func decide(now time.Time, r *Request, s *state, cost float64, p *prefix) *decision {
	cached := s.cache.tokens(now, r.Shared)
	return &decision{state: s, cost: cost, cached: cached + p.copied(s, cached), source: p.source(s, cached)}
}

// backlog is the time that the replicas need to read the prompts that wait there,
// in milliseconds: the median, so that one with a long queue does not count as
// all of them.
func (u *upstream) backlog(states []*state) float64 {
	if len(states) == 0 {
		return 0
	}
	u.waiting = u.waiting[:0]
	for _, s := range states {
		u.waiting = append(u.waiting, s.toRead())
	}
	slices.Sort(u.waiting)
	return u.reading.PrefillMS(u.waiting[len(u.waiting)/2])
}

const (
	// costJitter is the part of a cost by which the choices of nodes are spread
	// whose views are equal.
	costJitter = 0.1
	// tieSpread spreads the choices among idle replicas, in milliseconds: below
	// what another availability zone costs.
	tieSpread = 1.0
)
