package router

import (
	"fmt"
	"time"

	"galenatrestle/internal/refusal"
)

// Steps at which a pool refuses.
const (
	stepAdmit = "admit"
	stepQueue = "queue"
)

// refuse makes a refusal of request. A pool cannot prove that a retry's earlier
// attempt did not run, so the outcome of a retry is unknown: the caller of the
// pool may put NotRun in its place where it has the proof.
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
	message := fmt.Sprintf("%d requests of class %s wait already", class.waiting, class.Name)
	return refuse(request, refusal.QueueFull, stepAdmit, message, class.GiveUpAfter.Std()/2)
}
