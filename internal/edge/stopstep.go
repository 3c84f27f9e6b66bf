package edge

import "time"

// The fractions are parts of the grace time, counted from the stop signal.
const (
	// refuseStreamingFraction is when new streaming responses are refused, since they might
	// not complete in time. Those that began before may still arrive until the exit.
	refuseStreamingFraction = 0.37
	// minServeFraction is how long the node serves at least, since callers keep using an
	// address for a while after it is withdrawn.
	minServeFraction = 0.5
	// endCallsBefore is the time before the latest exit at which calls in progress are ended, so that their
	// callers are told before the process is gone.
	endCallsBefore = 200 * time.Millisecond
	// refuseBefore is the time before that in which no call is taken.
	refuseBefore = 100 * time.Millisecond
)

// stopStep is what a stopping node does at a moment.
type stopStep struct {
	// answerBy is the time from the stop signal by which the calls that it still takes are answered.
	answerBy time.Duration
	// left is the time until the latest exit.
	left time.Duration

	refuseStreaming, refuseAll, endCalls, exit bool
}

// step returns what the node does at the time from the stop signal. idle is whether nothing has been in flight
// and nothing was taken for a while.
func (e *exitTime) step(elapsed time.Duration, idle bool) stopStep {
	latest := e.latest()
	answerBy := latest - endCallsBefore
	return stopStep{
		answerBy:        answerBy,
		left:            max(latest-elapsed, 0),
		refuseStreaming: elapsed > fraction(e.grace, refuseStreamingFraction),
		refuseAll:       idle && elapsed > fraction(e.grace, minServeFraction) || elapsed > answerBy-refuseBefore,
		endCalls:        elapsed > answerBy,
		exit:            elapsed > latest,
	}
}

func fraction(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}
