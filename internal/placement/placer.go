package placement

import (
	"math/rand/v2"
	"sync"
	"time"

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
	// peers holds what other nodes told of their loads, groups what those use
	// together for which another node adds up, by that node.
	peers  map[string]peerLoads
	groups map[string]peerLoads
	// seeAll has each request placed among all replicas.
	seeAll bool
	// permits are those for replicas that name a rate; nil: none is kept to.
	permits *ratelimit.Permits
	// usedAt is when a replica was last chosen.
	usedAt time.Time
	// fleet is what all other nodes use together, as told at fleetAt.
	fleet   map[string]Load
	fleetAt time.Time
}

// NewPlacer returns a placer for a node in the availability zone.
func NewPlacer(zone string, replicas *replica.Set, random *rand.Rand) *Placer {
	return &Placer{zone: zone, replicas: replicas, rand: random, upstreams: make(map[string]*upstream), peers: make(map[string]peerLoads), groups: make(map[string]peerLoads)}
}

func (p *Placer) upstream(name string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	u, ok := p.upstreams[name]
	if !ok {
		u = newUpstream(p.zone, rand.New(rand.NewPCG(p.rand.Uint64(), p.rand.Uint64())))
		u.seeAll, u.permits = p.seeAll, p.permits
		p.upstreams[name] = u
	}
	return u
}

// ConsiderAllReplicas has requests placed among all replicas also in a large fleet, for comparisons.
// It is called before the first Choose.
func (p *Placer) ConsiderAllReplicas() { p.seeAll = true }

// SetPermits has replicas that name a rate left alone while there is no permit. It is called
// before the first Choose.
func (p *Placer) SetPermits(permits *ratelimit.Permits) { p.permits = permits }

// Choose binds the request to a replica of the upstream. It returns nil where
// no replica takes new requests, or all of them name rates and have no permit left:
// RateLimited tells these apart. The attempt must be ended, and one that NeedsPermit must not begin
// before it is Permitted.
func (p *Placer) Choose(now time.Time, name string, r *Request) *Attempt {
	u := p.upstream(name)
	p.used(now)
	replicas := p.replicas.ForUpstream(name)
	u.mu.Lock()
	defer u.mu.Unlock()
	d := u.choose(now, r, replicas)
	if d == nil {
		return nil
	}
	return u.bind(now, r, d)
}

func (p *Placer) used(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = now
}

// UsedWithin says whether a replica was chosen not longer than that ago.
func (p *Placer) UsedWithin(span time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.usedAt) <= span
}

// bind counts the attempt at the replica that was chosen. The lock is held.
func (u *upstream) bind(now time.Time, r *Request, d *decision) *Attempt {
	s := d.state
	limits := u.rateLimits(now)
	a := &Attempt{Replica: s.replica, Choice: u.explain(now, r, d), NeedsPermit: limits.apply(s), upstream: u, state: s, startedAt: now}
	if d.source != nil {
		a.CopyFrom = d.source.replica.Address
	}
	if r.PromptTokens > 0 {
		if a.light = !u.heavy(r); a.light {
			s.light++
		}
		a.rank, a.reading = r.Rank, r.PromptTokens-d.cached
		s.reading.add(a.rank, a.reading)
		a.shared = r.Shared
		a.work = a.Choice.PrefillAhead + a.reading
		a.tokens = r.tokens() - d.cached
		s.tokens += a.tokens
	}
	s.running++
	if !a.NeedsPermit {
		a.sent(now)
	}
	return a
}
