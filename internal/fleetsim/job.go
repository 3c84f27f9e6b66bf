package fleetsim

import (
	"time"

	"galenatrestle/internal/placement"
)

// job is one attempt at an engine.
type job struct {
	call         *call
	attempt      *placement.Attempt
	rank         int
	promptTokens int
	shared       []placement.PromptPart
	answerTokens int
	// toRead is the prompt tokens that are left to read; justRead says that the last
	// of them was read in this step.
	toRead   int
	justRead bool
	// made counts the answer's tokens, firstAt and lastAt are its first and last event.
	made    int
	firstAt time.Duration
	lastAt  time.Duration
	broken  bool
	heard   bool
	// toldAt is the event that the node was last told of.
	toldAt time.Duration
}

// token adds one token to the answer, which passes on an event now and then.
func (j *job) token(at time.Duration, perEvent int) {
	j.made++
	if j.made%perEvent != 0 && j.made != 1 && j.made != j.answerTokens {
		return
	}
	if j.firstAt == 0 {
		j.firstAt = at
	} else {
		j.call.longestPause = max(j.call.longestPause, at-j.lastAt)
	}
	j.lastAt = at
}

// whole says whether the answer is complete.
func (j *job) whole() bool { return j.made >= j.answerTokens }

// over says whether the job has left the engine: its answer is whole, or its caller
// waits no longer.
func (j *job) over(at time.Duration) bool { return j.whole() || at > j.call.deadline }
