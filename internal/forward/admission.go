package forward

import (
	"fmt"
	"time"

	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
)

// admit applies overload control to the call at the chosen replica.
func (e *exchange) admit(c *placement.Choice) overload.Decision {
	e.returning.loadsAge = c.LoadsAge
	request := e.overloadRequest(c)
	decision := e.decideAdmission(request)
	e.observeShare(time.Now(), c, &request, decision.Refused())
	return decision
}

// overloadRequest returns the call at the chosen replica as overload control sees it.
func (e *exchange) overloadRequest(c *placement.Choice) overload.Request {
	return overload.Request{
		Rank: e.placementRequest.Rank, Objective: e.call.Route.Objective, TimeLeft: time.Until(e.call.Deadline),
		QueueTime: c.FirstTokenTime - c.OwnPrefill, OwnPrefill: c.OwnPrefill, MemoryUsed: c.MemoryFraction,
		Share: e.standing.Share,
	}
}

// refuseIfOverloaded returns a failure if overload control refuses the call.
// Retries and resumed streams are always admitted: to end what was begun is worth more
// than to begin another answer, and few replicas may be able to.
func (e *exchange) refuseIfOverloaded(placementAttempt *placement.Attempt) *Failure {
	if e.attempts > 1 || e.call.ResumesStream() {
		return nil
	}
	decision := e.admit(&placementAttempt.Choice)
	if !decision.Refused() {
		return nil
	}
	placementAttempt.End(time.Now(), placement.Cancelled)
	return e.overloadFailure(placementAttempt, decision)
}

func (e *exchange) overloadFailure(placementAttempt *placement.Attempt, decision overload.Decision) *Failure {
	c := &placementAttempt.Choice
	e.forwarder.metrics.overloadRefusals.WithLabelValues(e.call.Upstream, string(decision.Reason)).Inc()
	return &Failure{
		Result: placement.Cancelled, NotRun: true, Step: stepChoose, Peer: placementAttempt.Replica.Address, RetryAfter: decision.RetryAfter,
		Cause: fmt.Errorf("%w (%s): %s expected at the best of %d replicas, memory used %.2f, %d requests there",
			errOverloaded, decision.Reason, c.FirstTokenTime.Round(time.Millisecond), c.AvailableReplicas, c.MemoryFraction, c.Running),
	}
}
