package placement

// Result is the outcome of an attempt.
type Result int

// Outcomes of attempts.
const (
	// Answered means that the replica sent an answer or its first event.
	Answered Result = iota
	// Cancelled means that this side ended the attempt; it says nothing about the replica.
	Cancelled
	// Full means that the replica rejected the request before running it.
	Full
	// Errored means that the replica answered with an error.
	Errored
	// Interrupted means that the connection was lost or the answer was incomplete.
	Interrupted
	// TimedOut means that the replica sent nothing in time.
	TimedOut
	// Unreachable means that the connection could not be established.
	Unreachable
	// Replaced means that the replica's address now belongs to another process.
	Replaced
)

// penalties is the failure score that each result adds, relative to Interrupted.
var penalties = map[Result]float64{
	Full:        0.5,
	Errored:     0.7,
	Interrupted: 1,
	TimedOut:    3,
	Unreachable: 6,
	Replaced:    50,
}
