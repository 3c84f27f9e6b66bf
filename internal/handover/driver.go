package handover

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/platform/readback"
)

// ErrSuperseded says that a driver with a higher epoch has a move.
var ErrSuperseded = errors.New("handover: superseded by a driver with a higher epoch")

// maxRounds bounds the steps of one move in one pass.
const maxRounds = 32

// DriverConfig is what a Driver works with.
type DriverConfig struct {
	Store *MoveStore
	// Address is where this process answers permits.
	Address string
	// DataCentre is this side's name, RelayAddress where the other side may
	// relay requests to.
	DataCentre   string
	RelayAddress string
	Peer         Counterpart
	Nodes        Nodes
	Claims       ClaimMover
	Preparer     Preparer
	// ActivePlans returns the ids of the plans that are not final; their moves'
	// records are kept. Nil keeps all records.
	ActivePlans func(ctx context.Context) ([]string, error)
	Timing      Timing
	Metrics     *Metrics
	Log         logrus.FieldLogger
	Now         func() time.Time
}

// Driver carries out this side's part of all moves. One process at a time runs
// Pass, under a lease whose epoch it passes; an older one that goes on does no
// harm. It is safe for concurrent use.
type Driver struct {
	cfg DriverConfig

	mu      sync.Mutex
	sources map[string]*sourceRun
}

// sourceRun is a move of which this process drives the source.
type sourceRun struct {
	epoch int64
	s     Source
	// unwritten says that s.Move may not be durable yet.
	unwritten bool
	parts     [][]byte
}

// NewDriver returns a Driver.
func NewDriver(cfg DriverConfig) *Driver {
	return &Driver{cfg: cfg, sources: make(map[string]*sourceRun)}
}

// Permit answers a node of this side that asks for a term.
func (d *Driver) Permit(moveID, node string, epoch int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	run, ok := d.sources[moveID]
	if !ok || run.epoch != epoch {
		return false
	}
	var permitted bool
	run.s, permitted = run.s.Permit(node, epoch, d.cfg.Now())
	return permitted
}

// Waiting says what a move that this process drives waits for.
func (d *Driver) Waiting(moveID string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if run, ok := d.sources[moveID]; ok {
		return run.s.Waiting()
	}
	return ""
}

// Armed says whether all nodes serve the move's set by permits only, as far as
// this process drives it.
func (d *Driver) Armed(moveID string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	run, ok := d.sources[moveID]
	return ok && run.s.allArmed()
}

// Transferred says whether the target has acknowledged all parts, as far as
// this process drives the move.
func (d *Driver) Transferred(moveID string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	run, ok := d.sources[moveID]
	return ok && run.s.Parts > 0 && len(run.s.Sent) == run.s.Parts
}

// Run passes over the moves until ctx ends, which it must do with the lease.
func (d *Driver) Run(ctx context.Context, epoch int64) error {
	ticker := time.NewTicker(d.cfg.Timing.Resend)
	defer ticker.Stop()
	for {
		err := d.Pass(ctx, epoch)
		if errors.Is(err, ErrSuperseded) {
			return err
		}
		if err != nil {
			d.cfg.Log.WithError(err).Warn("moves stand still")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Pass brings each move as far as it goes now.
func (d *Driver) Pass(ctx context.Context, epoch int64) error {
	moves, _, err := d.cfg.Store.Moves(ctx)
	if err != nil {
		// What nodes are to be told does not wait for the platform.
		return errors.Join(err, d.resume(ctx, epoch))
	}
	var failed error
	for _, m := range moves {
		if m.Phase.Final() {
			d.drop(m.ID)
			continue
		}
		if m.DriverEpoch > epoch {
			d.drop(m.ID)
			return fmt.Errorf("move %s at epoch %d, not %d: %w", m.ID, m.DriverEpoch, epoch, ErrSuperseded)
		}
		failed = errors.Join(failed, d.drive(ctx, m, epoch))
	}
	return errors.Join(failed, d.tidy(ctx, moves))
}

func (d *Driver) drive(ctx context.Context, m Move, epoch int64) error {
	if m.DriverEpoch < epoch {
		m.DriverEpoch, m.Driver = epoch, d.cfg.Address
		stamped, err := d.cfg.Store.Write(ctx, m)
		if err != nil {
			return err
		}
		m = stamped
	}
	if m.Role == RoleTarget {
		return d.driveTarget(ctx, m)
	}
	return d.driveSource(ctx, d.adopt(m, epoch))
}

// adopt returns the run of a move, brought to the record.
func (d *Driver) adopt(m Move, epoch int64) *sourceRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	run, ok := d.sources[m.ID]
	if !ok || run.epoch != epoch {
		run = &sourceRun{epoch: epoch, s: NewSource(m, d.cfg.Timing, d.cfg.Now())}
		d.sources[m.ID] = run
		return run
	}
	if m.Revision > run.s.Move.Revision {
		// The key has moved on: a write of ours that was open has failed, or
		// this is what it wrote.
		run.s.Move = m
		run.unwritten = false
	}
	return run
}

func (d *Driver) drop(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sources, id)
}

// resume goes on with known moves while the platform does not answer.
func (d *Driver) resume(ctx context.Context, epoch int64) error {
	d.mu.Lock()
	var runs []*sourceRun
	for _, run := range d.sources {
		if run.epoch == epoch {
			runs = append(runs, run)
		}
	}
	d.mu.Unlock()
	var failed error
	for _, run := range runs {
		failed = errors.Join(failed, d.driveSource(ctx, run))
	}
	return failed
}

// driveSource steps a move until nothing more comes of it.
func (d *Driver) driveSource(ctx context.Context, run *sourceRun) error {
	inputs := []SourceInput{{Kind: SourceTick}}
	for round := 0; round < maxRounds && len(inputs) > 0; round++ {
		actions, err := d.step(ctx, run, inputs)
		if err != nil {
			return err
		}
		var more []SourceInput
		for _, batch := range d.carryOut(ctx, run, actions) {
			more = append(more, batch...)
		}
		inputs = more
	}
	return ctx.Err()
}

// step feeds the inputs, makes the result durable and returns what to do. The
// next state counts for permits before its write is sent.
func (d *Driver) step(ctx context.Context, run *sourceRun, inputs []SourceInput) ([]Action, error) {
	d.mu.Lock()
	before := run.s.Move
	var actions []Action
	for _, in := range inputs {
		run.s, actions = run.s.Step(in, d.cfg.Now())
	}
	run.unwritten = run.unwritten || changed(before, run.s.Move)
	unwritten, move := run.unwritten, run.s.Move
	d.mu.Unlock()
	if !unwritten {
		return actions, nil
	}
	return actions, d.persist(ctx, run, move)
}

func (d *Driver) persist(ctx context.Context, run *sourceRun, move Move) error {
	written, err := d.cfg.Store.Write(ctx, move)
	if readback.IsConflict(err) {
		// Another wrote first; the next pass reads what.
		return err
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	run.s.Move = written
	run.unwritten = false
	d.cfg.Metrics.phases.WithLabelValues(string(RoleSource), string(written.Phase)).Inc()
	return nil
}
