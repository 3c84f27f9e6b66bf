package shutdown

import "time"

const (
	// longestFactor times the longest recent answer is the time that an answer may need.
	longestFactor = 2
	// answerMargin is added for passing the answer on.
	answerMargin = 150 * time.Millisecond
)

// Need returns the time that a call may need until its answer has been passed on. left is the time until its
// deadline, objective that within which its answer should come, longest the longest recent answer of its upstream; zero:
// they are not known. A call of which neither is known may take all the time it has.
func Need(left, objective, longest time.Duration) time.Duration {
	expected := longestFactor * longest
	if longest <= 0 {
		expected = objective
	}
	if expected <= 0 {
		return left
	}
	return min(left, expected+answerMargin)
}
