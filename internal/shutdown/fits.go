package shutdown

import "time"

const (
	// longestFactor times the longest recent answer is the time that an answer may need.
	longestFactor = 2
	// answerMargin is added for passing the answer on.
	answerMargin = 150 * time.Millisecond
)

// Need returns the time that a call may need until its answer has been passed on. left is the time until its
// deadline, longest the longest recent answer of its upstream; zero: there was none, and the call may
// take all the time it has.
func Need(left, longest time.Duration) time.Duration {
	if longest <= 0 {
		return left
	}
	return min(left, longestFactor*longest+answerMargin)
}
