package handover

import (
	"context"
	"slices"
	"time"
)

// Permits asks a move's driver for a term.
type Permits interface {
	// Permit returns whether the driver gives the node a term.
	Permit(ctx context.Context, ask Ask, node string) (bool, error)
}

// Vouch is permission lent by a registered node.
type Vouch struct {
	Term  time.Duration
	Moves []Move
}

// Vouchers asks registered nodes to lend permission.
type Vouchers interface {
	// Vouch returns what a peer lends.
	Vouch(ctx context.Context, node string) (Vouch, error)
}

// Agent keeps a node's gate fed: it registers the node, reads the moves and
// asks for permits.
type Agent struct {
	gate    *Gate
	store   *MoveStore
	permits Permits
	// vouchers is asked while the node can't register.
	vouchers Vouchers
	node     string
	timing   Timing
	now      func() time.Time

	registered bool
	// revision is the platform's at the newest read, and atRest says that no
	// move was in progress then.
	revision int64
	atRest   bool
}

const (
	// asksPerTerm is how often an armed node asks for a permit in one term.
	asksPerTerm = 4
	// restTime bounds one wait for a change while no move is in progress.
	restTime = 30 * time.Second
)

// NewAgent returns the agent of a node. now must carry the monotonic clock.
func NewAgent(gate *Gate, store *MoveStore, permits Permits, vouchers Vouchers, node string, timing Timing, now func() time.Time) *Agent {
	return &Agent{gate: gate, store: store, permits: permits, vouchers: vouchers, node: node, timing: timing, now: now}
}

// Run feeds the gate until ctx ends. Errors are not returned: the next round
// tries again, and the gate does the right thing meanwhile.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = a.Round(ctx)
		a.rest(ctx)
	}
}

// rest waits for a change of the moves, or until the next permit is due. While
// nothing moves it costs the platform two calls in a restTime.
func (a *Agent) rest(ctx context.Context) {
	if a.awaitChange(ctx) == nil {
		return
	}
	timer := time.NewTimer(a.timing.Resend)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// awaitChange returns nil once a move has changed in the platform or the time
// to wait has passed, and an error where the wait was cut short, as by a
// driver's call of this node, or the platform did not answer in time: a term
// must outlast this wait and a Round.
func (a *Agent) awaitChange(ctx context.Context) error {
	changed := a.gate.watch()
	wait := a.timing.Term / asksPerTerm
	if a.atRest && len(a.gate.Asks()) == 0 {
		wait = restTime
	}
	ctx, cancel := context.WithTimeout(ctx, wait+a.timing.Resend)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return a.store.Await(ctx, a.revision, wait)
}

// Round registers if need be, reads the moves and asks for permits once. Peers
// are asked in a time of their own, so that a platform that hangs takes none of
// it.
func (a *Agent) Round(ctx context.Context) error {
	err := a.read(ctx)
	ctx, cancel := context.WithTimeout(ctx, a.timing.Term/asksPerTerm)
	defer cancel()
	if err != nil && !a.registered {
		a.vouch(ctx)
	}
	for _, ask := range a.gate.Asks() {
		a.ask(ctx, ask)
	}
	return err
}

func (a *Agent) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.timing.Term/asksPerTerm)
	defer cancel()
	if !a.registered {
		if err := a.store.Register(ctx, a.node); err != nil {
			return err
		}
	}
	moves, revision, err := a.store.Moves(ctx)
	if err != nil {
		return err
	}
	a.revision = revision
	a.atRest = !slices.ContainsFunc(moves, inProgress)
	if a.registered {
		a.gate.Refresh(moves, revision)
		return nil
	}
	a.gate.Registered(moves, revision)
	a.registered = true
	return nil
}

func inProgress(m Move) bool { return !m.Phase.Final() }

func (a *Agent) ask(ctx context.Context, ask Ask) {
	asked := a.now()
	permitted, err := a.permits.Permit(ctx, ask, a.node)
	if err == nil {
		a.gate.Permit(ask, asked, permitted)
	}
}

func (a *Agent) vouch(ctx context.Context) {
	asked := a.now()
	lent, err := a.vouchers.Vouch(ctx, a.node)
	if err == nil {
		a.gate.Vouched(asked, lent.Term, lent.Moves)
	}
}
