package gateway

import (
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/explain"
)

// call is what the checks established of one caller's request.
type call struct {
	id        string
	index     *config.Index
	workspace *config.Workspace
	class     *config.Class
	arrived   time.Time
	// giveUpAt is when an answer is of no more use: the class's bound or the
	// caller's own timeout, whichever is sooner.
	giveUpAt       time.Time
	idempotencyKey string
	// timeline keeps what happens to the request, for operators.
	timeline *explain.Timeline
}

// firstTokenBy is the class's first-token target; zero where there is none.
func (c *call) firstTokenBy() time.Time {
	if c.class.TargetFirstToken == 0 {
		return time.Time{}
	}
	return c.arrived.Add(c.class.TargetFirstToken.Std())
}

// answerBy is the class's target for the whole answer.
func (c *call) answerBy() time.Time {
	return c.arrived.Add(c.class.TargetAnswer.Std())
}
