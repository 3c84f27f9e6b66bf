package placement

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/pause"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// Placer chooses replicas. It is safe for concurrent use.
type Placer struct {
	zone     string
	replicas *replica.Set

	mu        sync.Mutex
	rand      *rand.Rand
	upstreams map[string]*upstream
	// peers holds the last load report of each other node, by node name. groups holds the last
	// summed loads of each other group, by the name of the hub, the node that aggregates the group.
	peers  map[string]peerLoads
	groups map[string]peerLoads
	// considerAll disables random sampling of candidates.
	considerAll bool
	// permits are those of limited replicas; nil: limits are not enforced.
	permits *ratelimit.Permits
	// pauses are those that the replicas asked for; nil: none are kept.
	pauses *pause.Table
	// speeds are the options of the estimates of replica speeds; nil: off.
	speeds *ReplicaSpeeds
	// service is nil if calls without a prompt have no expected queue time.
	service *ServiceAdmission
	// missCostMS is the cost of a missed objective, in milliseconds; zero: objectives are
	// disregarded.
	missCostMS float64
	// objectiveMoves is objectiveCosts.moves.
	objectiveMoves atomic.Int64
	lastChoiceAt   time.Time
	// fleetLoads is the summed load of all other nodes, received at fleetLoadsAt.
	fleetLoads   map[string]Load
	fleetLoadsAt time.Time
	// zoneTraffic decides which requests leave the zone; nil: other zones cost zoneCost.
	zoneTraffic *ZoneTraffic
	zoneCost    float64
}

// NewPlacer returns a placer for a node in the availability zone.
func NewPlacer(zone string, replicas *replica.Set, random *rand.Rand) *Placer {
	return &Placer{zone: zone, zoneCost: defaultZoneCost, replicas: replicas, rand: random, upstreams: make(map[string]*upstream), peers: make(map[string]peerLoads), groups: make(map[string]peerLoads)}
}

func (p *Placer) upstream(name string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[name]
	if !ok {
		u = newUpstream(p.zone, rand.New(rand.NewPCG(p.rand.Uint64(), p.rand.Uint64())))
		p.speeds.setUp(u)
		u.zones, u.zoneCost = newZoneView(p.zoneTraffic, name, p.zone), p.zoneCost
		u.considerAll, u.permits, u.pauses, u.service = p.considerAll, p.permits, p.pauses, p.service
		if p.missCostMS > 0 {
			u.objective = newObjectiveCosts(p.missCostMS, &p.objectiveMoves)
		}
		p.upstreams[name] = u
	}
	return u
}

// ConsiderAllReplicas disables random sampling of candidates in large fleets, to compare choices
// with and without it.
// Call it before the first Choose.
func (p *Placer) ConsiderAllReplicas() { p.considerAll = true }

// SetPermits enforces the limits of replicas with these permits. Call it before
// the first Choose.
func (p *Placer) SetPermits(permits *ratelimit.Permits) { p.permits = permits }

// SetPauses keeps requests from paused replicas. Call it before the first Choose.
func (p *Placer) SetPauses(pauses *pause.Table) { p.pauses = pauses }

// Choose binds the request to a replica of the upstream. It returns nil if no replica of the
// request's software version accepts new requests, or all are paused or rate limited with no permit
// left; Restricted distinguishes these.
// The caller must end the attempt, and if it NeedsPermit, must call PermitGranted before
// sending the request.
func (p *Placer) Choose(now time.Time, name string, r *Request) *Attempt {
	u := p.upstream(name)
	p.recordChoice(now)
	replicas := p.replicas.ForUpstream(name)
	u.mu.Lock()
	defer u.mu.Unlock()
	d := u.choose(now, r, replicas)
	if d == nil {
		return nil
	}
	return u.bind(now, r, d)
}

func (p *Placer) recordChoice(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastChoiceAt = now
}

// UsedWithin reports whether Choose was called within the window that ends now.
func (p *Placer) UsedWithin(window time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastChoiceAt) <= window
}

// bind adds the attempt to the load of the chosen replica. The lock is held.
func (u *upstream) bind(now time.Time, r *Request, d *decision) *Attempt {
	s := d.state
	current := u.restrictions(now)
	a := &Attempt{Replica: s.replica, Choice: u.newChoice(now, r, d), NeedsPermit: current.isLimited(s), upstream: u, state: s, startedAt: now, class: r.Class, isPlain: r.PromptTokens == 0, loadAtStart: s.speedLoad()}
	u.zones.count(r, s, d.cachedAway)
	if d.source != nil {
		a.CopyFrom = d.source.replica.Address
	}
	if r.PromptTokens > 0 {
		if a.shortPrompt = !u.hasLongPrompts(r); a.shortPrompt {
			s.runningShort++
		}
		a.rank, a.yields, a.pendingPrefill = r.Rank, r.Yields, r.PromptTokens-d.cached
		s.prefillBacklog.add(a.rank, a.pendingPrefill)
		a.prefilled = a.pendingPrefill
		a.shared = r.Shared
		a.prefillTokens = a.Choice.PrefillAhead + a.pendingPrefill
		a.tokensInMemory = r.tokens() - d.cached
		s.tokensInMemory += a.tokensInMemory
	}
	s.running++
	if !a.NeedsPermit && !r.Undecided {
		a.recordSent(now)
	}
	return a
}
