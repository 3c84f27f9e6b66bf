package intent

import "context"

// Task is one step to be carried out.
type Task struct {
	Plan *Plan
	Step Step
	// Epoch is the executor's: the fencing number of whatever the step does.
	Epoch int64
}

// Progress is what an Actor reached.
type Progress struct {
	Done bool
	// Wait says what a step that is not done waits for.
	Wait string
}

// Actor carries out steps of some kinds. Both methods are idempotent: they are
// called again after a crash at any point, possibly by another process.
type Actor interface {
	// Do brings about the step's desired state, or some of it. It returns a
	// *FatalError where the step certainly did nothing and never will; any
	// other error is tried again.
	Do(ctx context.Context, task Task) (Progress, error)
	// Undo takes back what Do may have done; it is called for steps before the
	// first one without return, and for one that failed with a *FatalError.
	Undo(ctx context.Context, task Task) (Progress, error)
}
