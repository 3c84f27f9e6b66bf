package handover

import (
	"context"
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
}

// NewAgent returns the agent of a node. now must carry the monotonic clock.
func NewAgent(gate *Gate, store *MoveStore, permits Permits, vouchers Vouchers, node string, timing Timing, now func() time.Time) *Agent {
	return &Agent{gate: gate, store: store, permits: permits, vouchers: vouchers, node: node, timing: timing, now: now}
}

// Run feeds the gate until ctx ends. Errors are not returned: the next round
// tries again, and the gate does the right thing meanwhile.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(a.timing.Resend)
	defer ticker.Stop()
	for {
		_ = a.Round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Round registers if need be, reads the moves and asks for permits once. Peers
// are asked in a time of their own, so that a platform that hangs takes none of
// it.
func (a *Agent) Round(ctx context.Context) error {
	err := a.read(ctx)
	ctx, cancel := context.WithTimeout(ctx, a.timing.Term/4)
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
	ctx, cancel := context.WithTimeout(ctx, a.timing.Term/4)
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
	if a.registered {
		a.gate.Refresh(moves, revision)
		return nil
	}
	a.gate.Registered(moves, revision)
	a.registered = true
	return nil
}

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
