package router

// Result is how an attempt ended.
type Result int

const (
	// ResultDone is a complete answer.
	ResultDone Result = iota
	// ResultNotRun is an attempt that is known not to have run.
	ResultNotRun
	// ResultFailed is an attempt that failed after it was sent.
	ResultFailed
	// ResultCancelled is an attempt that this node cancelled.
	ResultCancelled
	// ResultCrashed is an attempt whose connection the replica broke.
	ResultCrashed
)
