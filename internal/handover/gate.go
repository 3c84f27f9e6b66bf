package handover

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/refusal"
)

// step names the gate in refusals.
const step = "handover"

// Gate tells the data path of one node whether it may start work, and counts
// what it started. It is safe for concurrent use.
type Gate struct {
	now     func() time.Time
	timing  Timing
	metrics *Metrics

	mu sync.Mutex
	p  Permission
	// vouchEnds is when the last permission lent to others is over.
	vouchEnds time.Time
	inFlight  map[flight]int64
	// changed is closed and replaced at each change of the permission.
	changed chan struct{}
}

// flight names what the gate counts.
type flight struct {
	upstream  string
	workspace string
}

// NewGate returns the gate of a node that has neither registered nor read the
// moves: until one of Registered and Vouched is called everything waits.
func NewGate(home func(upstream, workspace string) bool, timing Timing, metrics *Metrics, now func() time.Time) *Gate {
	return &Gate{
		now: now, timing: timing, metrics: metrics,
		p:        Permission{Home: home, Term: timing.Term},
		inFlight: make(map[flight]int64),
		changed:  make(chan struct{}),
	}
}

// Check says what may be done with a request now, without starting it.
func (g *Gate) Check(upstream, workspace string) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.p.Verdict(upstream, workspace, g.now())
}

// Start is the check directly before the first byte of a request is handed to
// an upstream. Where the verdict is Serve, the request counts as in flight here
// until done is called; else done is nil and nothing may be handed over.
func (g *Gate) Start(upstream, workspace string) (verdict Verdict, done func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict = g.p.Verdict(upstream, workspace, g.now())
	g.metrics.verdicts.WithLabelValues(string(verdict.Kind)).Inc()
	if verdict.Kind != Serve {
		return verdict, nil
	}
	key := flight{upstream: upstream, workspace: workspace}
	g.inFlight[key]++
	return verdict, sync.OnceFunc(func() { g.finish(key) })
}

// Await starts the request as Start does, but holds it while the verdict is
// Wait. When ctx ends first it returns a refusal that the request was not run.
// One that the other data centre has relayed is never relayed again but refused
// as not run: its first node looks again and knows better by then.
func (g *Gate) Await(ctx context.Context, upstream, workspace string, relayed bool) (Verdict, func(), error) {
	for {
		changed := g.watch()
		verdict, done := g.Start(upstream, workspace)
		switch {
		case verdict.Kind == Serve, verdict.Kind == Relay && !relayed:
			return verdict, done, nil
		case verdict.Kind != Wait:
			return verdict, nil, refusal.New(refusal.Moving, step, "this data centre does not serve the upstream for the workspace")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			g.metrics.refusedWaiting.Inc()
			refused := refusal.New(refusal.Moving, step, "the upstream is between two data centres")
			refused.Cause = ctx.Err()
			refused.RetryAfter = time.Second
			return verdict, nil, refused
		}
	}
}

// Registered tells that this node's registration is durable and brings the
// moves as read after it.
func (g *Gate) Registered(moves []Move, revision int64) {
	g.change(func(p *Permission) {
		p.Refresh(moves, revision)
		p.Registered = true
		// An earlier process of this node may have lent permission.
		g.vouchEnds = g.now().Add(g.timing.quietAfter())
	})
}

// Vouched lends a node that can't register, because the platform is down, the
// permission of a registered peer: it was asked at asked and lent for the term.
func (g *Gate) Vouched(asked time.Time, term time.Duration, moves []Move) {
	g.change(func(p *Permission) {
		p.Refresh(moves, p.Revision)
		p.VouchedUntil = asked.Add(min(term, p.Term))
	})
}

// Refresh brings a newer copy of the moves.
func (g *Gate) Refresh(moves []Move, revision int64) {
	g.change(func(p *Permission) { p.Refresh(moves, revision) })
}

// Arm is the driver's call; see Permission.Arm.
func (g *Gate) Arm(id string, set Set, driver string, epoch int64) bool {
	armed := false
	g.change(func(p *Permission) { armed = p.Arm(id, set, driver, epoch, g.now()) })
	return armed
}

// Stop is the driver's call that the move's set is sealed, or opened; it
// returns how many requests of the set are in flight here. It is not stopped
// while permission that this node lent to others may last.
func (g *Gate) Stop(m Move) (inFlight int64, stopped bool) {
	g.change(func(p *Permission) { p.Stop(m) })
	return g.InFlight(m.Set), g.lentNothing()
}

func (g *Gate) lentNothing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.now().Before(g.vouchEnds)
}

// Vouch lends this node's permission for a term to one that can't register;
// false where this node has none to lend.
func (g *Gate) Vouch() ([]Move, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	moves, ok := g.p.Lend()
	if ok {
		g.vouchEnds = g.now().Add(g.timing.quietAfter())
	}
	return moves, ok
}

// Permit brings the driver's answer to a question sent at asked.
func (g *Gate) Permit(ask Ask, asked time.Time, permitted bool) {
	g.change(func(p *Permission) { p.Permit(ask.MoveID, ask.Epoch, asked, permitted) })
}

// Asks returns the permits to ask for; it is to be called several times a term.
func (g *Gate) Asks() []Ask {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.p.Asks()
}

// InFlight counts the requests of the set that were started here and go on.
func (g *Gate) InFlight(set Set) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := int64(0)
	for key, n := range g.inFlight {
		if set.Has(key.upstream, key.workspace) {
			total += n
		}
	}
	return total
}

func (g *Gate) finish(key flight) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[key]--
	if g.inFlight[key] == 0 {
		delete(g.inFlight, key)
	}
}

func (g *Gate) watch() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *Gate) change(apply func(p *Permission)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	apply(&g.p)
	close(g.changed)
	g.changed = make(chan struct{})
}
