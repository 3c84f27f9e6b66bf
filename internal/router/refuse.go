package router

import (
	"fmt"
	"time"

	"galenatrestle/internal/refusal"
)

// Steps named in refusals.
const (
	stepAdmit = "admit"
	stepQueue = "queue"
)

// refuse returns a refusal. The pool cannot tell whether the earlier attempt of a retry ran; a
// caller that has proof may replace the outcome Unknown by NotRun.
func refuse(request *Request, reason refusal.Reason, step, message string, retryAfter time.Duration) *refusal.Error {
	refused := refusal.New(reason, step, message)
	if request.Attempt > 1 {
		refused.Outcome = refusal.Unknown
	}
	refused.RetryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	return refused
}

func refuseUnknownClass(request *Request) *refusal.Error {
	refused := refuse(request, refusal.UnknownClass, stepAdmit, "no such class", 0)
	refused.Field = "class"
	refused.Value = request.Class
	refused.RetryAfter = 0
	return refused
}

func refuseQueueFull(request *Request, class *classState) *refusal.Error {
	message := fmt.Sprintf("%d requests of class %s are already waiting", class.waiting, class.Name)
	return refuse(request, refusal.QueueFull, stepAdmit, message, class.GiveUpAfter.Std()/2)
}
