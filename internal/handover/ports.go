package handover

import "context"

// ClaimMover moves the claims of unrepeatable calls and their recorded
// outcomes. Both methods are idempotent.
type ClaimMover interface {
	// Export stops new claims of the set here, durably, as of the move's epoch,
	// and returns all claims and outcomes of the set in at least one part of at
	// most 512 KiB each. It is called after the seal, and again for outcomes
	// that came later.
	Export(ctx context.Context, set Set, epoch int64) ([][]byte, error)
	// Import makes one part of the move at epoch durable here and lifts what an
	// Export of a lower epoch has stopped. A recorded outcome is never replaced
	// by an open claim.
	Import(ctx context.Context, set Set, epoch int64, claims []byte) error
}

// Preparer makes the target able to serve a set.
type Preparer interface {
	// Prepare loads the models of the move's set and checks the capacity for
	// its load; it returns false while that goes on, and an error that is an
	// *UnableError where it can't.
	Prepare(ctx context.Context, m Move) (bool, error)
	// Release takes back what Prepare did.
	Release(ctx context.Context, set Set) error
}

// UnableError says that this side can't take a set.
type UnableError struct {
	Reason string
}

// Error implements error.
func (e *UnableError) Error() string { return "handover: can't take the set: " + e.Reason }

// Counterpart delivers messages to other data centres.
type Counterpart interface {
	// Deliver returns the receipt of the data centre's system.
	Deliver(ctx context.Context, dataCentre string, m Message) (Receipt, error)
}

// Nodes calls the nodes of this side.
type Nodes interface {
	// Arm returns nil once the node is armed for the move's driver epoch.
	Arm(ctx context.Context, node string, m Move) error
	// Stop returns the node's requests of the set in flight, once the node
	// starts no more of them.
	Stop(ctx context.Context, node string, m Move) (inFlight int64, err error)
}
