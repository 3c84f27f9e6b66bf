package fleetsim

import (
	"time"

	"galenatrestle/internal/returns"
)

// call is one request of a caller, with its return after a refusal.
type call struct {
	class *Class
	// workspace is the index of the caller's workspace.
	workspace int
	arrived   time.Duration
	deadline  time.Duration
	// id is the call's fingerprint. returned is whether its caller was refused and returns.
	id           uint64
	returned     bool
	arrival      returns.Arrival
	session      uint64
	ownTokens    int
	answerTokens int
	longestPause time.Duration
	// travel is the time that the request and the answer need between zones.
	travel  time.Duration
	outcome outcome
	settled bool
}

// outcome says how a call ended.
type outcome int

const (
	failed outcome = iota
	onTime
	late
	refused
)

// settle notes how the call ended.
func (c *call) settle(o outcome) {
	if !c.settled {
		c.outcome, c.settled = o, true
	}
}

// judge is the outcome of a whole answer.
func (c *call) judge(j *job) outcome {
	if j.lastAt > c.deadline {
		return failed
	}
	inTime := j.firstAt-c.arrived+c.travel <= c.class.Objective
	smooth := c.class.MaxPause == 0 || c.longestPause <= c.class.MaxPause
	if inTime && smooth {
		return onTime
	}
	return late
}
