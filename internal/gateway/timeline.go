package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/dispatch"
	"galenatrestle/internal/explain"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/retry"
	"galenatrestle/internal/upstream"
)

// beginTimeline starts the timeline of a checked request.
func (s *Server) beginTimeline(c *call) {
	c.timeline = s.options.Explain.Begin(c.arrived, c.id, &explain.Received{
		Class: c.class.Name, Workspace: c.workspace.Name, Tier: c.class.Tier,
	})
}

// refuseCall refuses a request of which no byte of an answer was sent, and ends
// its timeline.
func (s *Server) refuseCall(w http.ResponseWriter, c *call, err error) {
	refused := refusal.From(err)
	s.endRefused(c, refused)
	s.logRefused(c, refused)
	s.refuse(w, err)
}

// logRefused logs at the level info what is for no fault of the caller.
func (s *Server) logRefused(c *call, refused *refusal.Error) {
	level := logrus.DebugLevel
	if endOf(refused.Reason) == endRefused {
		level = logrus.InfoLevel
	}
	s.options.Log.WithFields(logrus.Fields{
		"request": c.id, "class": c.class.Name, "workspace": c.workspace.Name,
		"step": refused.Step, "peer": refused.Peer,
	}).WithError(refused).Log(level, "request refused")
}

// endRefused ends the timeline of a request without a whole answer.
func (s *Server) endRefused(c *call, refused *refusal.Error) {
	c.timeline.Add(time.Now(), explain.NewRefused(refused))
	s.metrics.ended(c, endOf(refused.Reason))
}

// endRelayed ends the timeline of a request that another data centre answered.
func (s *Server) endRelayed(c *call, address string) {
	c.timeline.Add(time.Now(), &explain.Relayed{Peer: address})
	s.metrics.ended(c, endRelayed)
}

// answered counts a whole answer and ends the request's timeline. Plain services
// have no first token.
func (s *Server) answered(c *call, first, end time.Time, tokens int) {
	told := &explain.Answered{Tokens: tokens, Whole: c.answerBy().Sub(end)}
	if target := c.firstTokenBy(); !target.IsZero() && !first.IsZero() {
		told.First, told.HasFirst = target.Sub(first), true
	}
	c.timeline.Add(end, told)
	s.metrics.answered(c, told.OnTarget(), first, end, tokens)
}

func (c *call) queued(attempt int, upstreamName string) {
	c.timeline.Add(time.Now(), &explain.Queued{Attempt: attempt, Upstream: upstreamName})
}

func (c *call) bound(attempt int, slot *dispatch.Slot) {
	c.timeline.Add(time.Now(), &explain.Bound{Attempt: attempt, Replica: slot.Replica.Name, Choice: slot.Choice})
}

func (c *call) started(attempt int, slot *dispatch.Slot) {
	c.timeline.Add(time.Now(), &explain.Started{Attempt: attempt, Peer: slot.Replica.Address})
}

// ended notes the end of an attempt, which may have had no slot.
func (c *call) ended(attempt int, slot *dispatch.Slot, tokens int, err error) {
	peer, step := "", ""
	if slot != nil {
		peer = slot.Replica.Address
	}
	var failed *upstream.Error
	if errors.As(err, &failed) {
		step = failed.Step
	}
	c.timeline.Add(time.Now(), explain.NewEnded(attempt, peer, step, tokens, err))
}

// decided notes whether another attempt follows.
func (c *call) decided(decision retry.Decision) {
	told := &explain.Again{Decision: string(decision.Action), Reason: string(decision.Reason)}
	if decision.Refusal != nil {
		told.Reason = string(decision.Refusal.Reason)
	}
	c.timeline.Add(time.Now(), told)
}

// callerGone is why a whole answer could not be given.
func callerGone(cause error) *refusal.Error {
	return &refusal.Error{
		Reason: refusal.CallerGone, Outcome: refusal.Unknown, Step: "answer",
		Message: "the answer was whole, but the caller's connection broke", Cause: cause,
	}
}
