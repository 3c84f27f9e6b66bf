package placement

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"galenatrestle/internal/enginespeed"
	"galenatrestle/internal/pause"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/replicaspeed"
)

// initialServiceMS is a plain service's expected answer time, in milliseconds, before any
// observation.
const initialServiceMS = 30.0

// serviceTimeWeight is the weight of one observation in a plain service's average answer time.
const serviceTimeWeight = 0.05

// upstream is the state of one upstream's replicas.
type upstream struct {
	zone string

	mu     sync.Mutex
	rand   *rand.Rand
	states map[string]*replicaState
	// all is the values of states, for faster iteration.
	all []*replicaState
	// lastReplicas is the argument of the last syncReplicas that changed the states. available
	// holds the states of those replicas that accept new requests, in the order of
	// availableReplicas.
	lastReplicas []replica.Replica
	available    []*replicaState
	// serviceMS is the average answer time of a plain service.
	serviceMS float64
	// answerMS is the average time from the first byte of an engine's answer to its end; zero: no
	// observation.
	answerMS float64
	// avgRunningOwn and avgRunningAll are the average numbers of running requests of this node and
	// of all nodes.
	avgRunningOwn, avgRunningAll float64
	// considerAll disables random sampling of candidates.
	considerAll bool
	// permits are those of limited replicas; nil: limits are not enforced.
	permits *ratelimit.Permits
	// pauses are those that the replicas asked for; nil: none are kept.
	pauses *pause.Table
	// service is nil if calls without a prompt have no expected queue time.
	service *ServiceAdmission
	// objective is nil if objectives are disregarded.
	objective    *objectiveCosts
	prefillSpeed *enginespeed.Estimator
	// avgPromptTokens is the average prompt length by class.
	avgPromptTokens map[string]float64
	split           split
	// recentPlacements is where prompts were recently sent, for announcement to other nodes.
	recentPlacements placements
	// zones decides on traffic between availability zones; nil: other zones cost zoneCost.
	zones    *zoneView
	zoneCost float64
	// backlogScratch is a buffer that medianPrefillMS reuses to avoid an allocation per request.
	backlogScratch []int
	// speeds estimates the speeds of the replicas; nil: off. speedStates are the replicas by ID, and
	// speedEstimates their estimates.
	speeds         *replicaspeed.Upstream
	speedStates    []*replicaState
	speedEstimates []*replicaspeed.Estimate
	slowStart      slowStart
	speedOrder     speedOrder
	// withoutEvents is the classes of prompts whose last answer came as a whole.
	withoutEvents map[string]bool
	onSpeedChange func(SpeedChange)
	// peersAt is when the sums of the other nodes were last set.
	peersAt time.Time
}

func newUpstream(zone string, random *rand.Rand) *upstream {
	return &upstream{zone: zone, zoneCost: defaultZoneCost, rand: random, states: make(map[string]*replicaState), serviceMS: initialServiceMS, prefillSpeed: enginespeed.NewEstimator(), avgPromptTokens: make(map[string]float64)}
}

// syncReplicas updates the states to the known replicas. The lock is held.
func (u *upstream) syncReplicas(replicas []replica.Replica) {
	if sameSlice(u.lastReplicas, replicas) {
		return
	}
	u.lastReplicas = replicas
	if len(u.states) > 2*len(replicas)+8 {
		u.dropStale(replicas)
	}
	for _, r := range replicas {
		if s, ok := u.states[r.ID]; ok && s.replica.StartedAt == r.StartedAt {
			s.replica = r
			continue
		}
		// A restarted process with the same ID has an empty cache and no requests.
		u.states[r.ID] = &replicaState{replica: r}
	}
	u.all = slices.Collect(maps.Values(u.states))
	u.trackSpeeds()
	u.available = u.available[:0]
	for i, r := range availableReplicas(replicas) {
		s := u.states[r.ID]
		s.hashOrder = i
		u.available = append(u.available, s)
	}
	u.sortAvailable()
}

// sameSlice reports whether both are the same slice. The replica set returns the same slice
// until it changes.
func sameSlice(a, b []replica.Replica) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// dropStale deletes the states of unlisted replicas without attempts.
func (u *upstream) dropStale(replicas []replica.Replica) {
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

type decision struct {
	state *replicaState
	cost  float64
	// cached is the prompt tokens that the replica has cached or copies from source.
	cached int
	// source is the replica to copy from; nil: none.
	source *replicaState
	// cachedAway is whether the shared parts were read in the replica's zone and not in this one.
	cachedAway bool
}

// choose returns the cheapest available replica, or nil.
func (u *upstream) choose(now time.Time, r *Request, replicas []replica.Replica) *decision {
	u.syncReplicas(replicas)
	u.refreshSpeeds(now)
	u.orderBySpeed(now)
	u.learnPrompt(r)
	if u.objective != nil {
		u.prepareObjective(now, r)
	}
	current := u.restrictions(now)
	current.excludeLimited, current.awaitsSlot = r.ExcludeRateLimited, r.AwaitsSlot
	u.presumePauses(&current)
	states := u.available
	shortCount := u.shortSideSize(now, r, states)
	side := states[shortCount:]
	if !u.hasLongPrompts(r) {
		side = states[:shortCount]
	}
	location := locatePrefix(now, r, u.zones.homeFirst(states), u.beginZones(now, r, side))
	location.zones = u.zones
	recompute := recomputeCost * (1 + u.medianPrefillMS(side)/backlogDoublingMS)
	fraction := u.candidateFraction(side)
	best, lowest := u.cheapest(now, r, &current, shortCount, &location, recompute, fraction)
	if best == nil && fraction < 1 {
		// None of the sampled replicas may get a request now; consider all.
		best, lowest = u.cheapest(now, r, &current, shortCount, &location, recompute, 1)
	}
	if best == nil {
		return nil
	}
	d := newDecision(now, r, best, lowest, &location)
	d.cachedAway = u.zones.cachedAway(now, r, best, &location)
	return d
}

// cheapest returns the replica of lowest cost, and that cost, among a random fraction of the
// available ones, of which the first shortCount form the short side. If no sampled replica may be
// used, it also considers the last available one. It returns nil if none may be used.
func (u *upstream) cheapest(now time.Time, r *Request, current *restrictions, shortCount int, location *prefixLocation, recompute, fraction float64) (*replicaState, float64) {
	var best *replicaState
	lowest := math.Inf(1)
	for i, s := range u.available {
		if !u.isCandidate(s, location, fraction) && (best != nil || i < len(u.available)-1) {
			continue
		}
		// Random jitter keeps nodes with the same view from all choosing the same replica.
		cost := u.cost(now, r, s, location, recompute)*(1+costJitter*u.rand.Float64()) + tieSpread*u.rand.Float64()
		cost += u.sideCost(r, i < shortCount)
		if current.awaitsSlot && current.isBrittle(s) {
			// What runs there tells little of how many requests wait.
			cost = healthCost(now, s) + u.zoneAndRetryCost(now, r, s, location) + current.slotWaitMS(s) + waitSpread*u.rand.Float64()
		}
		if cost < lowest && r.fits(s) && current.allows(s) {
			best, lowest = s, cost
		}
	}
	return best, lowest
}

func newDecision(now time.Time, r *Request, s *replicaState, cost float64, p *prefixLocation) *decision {
	cached := s.cache.cachedTokens(now, r.Shared)
	return &decision{state: s, cost: cost, cached: cached + p.copyableTokens(s, cached), source: p.source(s, cached)}
}

// medianPrefillMS returns the median time, in milliseconds, to prefill the backlog of a
// replica. The median ignores a single replica with a long queue.
func (u *upstream) medianPrefillMS(states []*replicaState) float64 {
	if len(states) == 0 {
		return 0
	}
	u.backlogScratch = u.backlogScratch[:0]
	for _, s := range states {
		u.backlogScratch = append(u.backlogScratch, s.pendingPrefill())
	}
	slices.Sort(u.backlogScratch)
	return u.prefillSpeed.PrefillMS(u.backlogScratch[len(u.backlogScratch)/2])
}

const (
	// costJitter is the fraction of a cost that spreads the choices of nodes with equal views.
	costJitter = 0.1
	// tieSpread is the absolute jitter, in milliseconds, that spreads requests over idle replicas.
	// It is less than the cost of another availability zone.
	tieSpread = 1.0
	// waitSpread is the jitter, in milliseconds, that spreads requests that wait for a slot: nodes learn
	// late how many requests of others wait.
	waitSpread = 100.0
)
