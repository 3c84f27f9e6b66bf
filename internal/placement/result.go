package placement

// Result says how a replica treated an attempt.
type Result int

// The results.
const (
	// Answered attempts brought an answer or its first event.
	Answered Result = iota
	// Cancelled attempts were ended by this side and say nothing.
	Cancelled
	// Full replicas refused the attempt before running it.
	Full
	// Errored replicas answered with a failure of their own.
	Errored
	// Interrupted attempts lost their connection or their answer's end.
	Interrupted
	// TimedOut attempts brought nothing in the time allowed.
	TimedOut
	// Unreachable replicas took no connection.
	Unreachable
	// Replaced replicas have given their address to another process.
	Replaced
)

// penalties are the failures that a result counts for. The scale is relative:
// one Broken is 1.
var penalties = map[Result]float64{
	Full:        0.5,
	Errored:     0.7,
	Interrupted: 1,
	TimedOut:    3,
	Unreachable: 6,
	Replaced:    50,
}
