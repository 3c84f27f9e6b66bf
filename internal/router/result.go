package router

// Result says how an attempt ended.
type Result int

// The results of an attempt.
const (
	// ResultDone is a whole answer.
	ResultDone Result = iota
	// ResultNotRun is an attempt that certainly did not run.
	ResultNotRun
	// ResultFailed is an attempt that broke after it was sent.
	ResultFailed
	// ResultCancelled is an attempt ended by this side.
	ResultCancelled
	// ResultCrashed is an attempt whose connection the replica broke.
	ResultCrashed
)
