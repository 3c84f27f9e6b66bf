package forward

// stopReason says why a failed attempt is not retried. It is a field value in
// logs and a label value in metrics.
type stopReason string

const (
	callerGone        stopReason = "caller_left"
	deadlinePassed    stopReason = "deadline_passed"
	processEnds       stopReason = "process_ends"
	noReplica         stopReason = "no_replica"
	overloaded        stopReason = "overloaded"
	rateLimited       stopReason = "rate_limited"
	replicasPaused    stopReason = "replicas_paused"
	replicasFull      stopReason = "replicas_full"
	responseStarted   stopReason = "answer_begun"
	tooManyRefusals   stopReason = "too_many_refusals"
	mayHaveRun        stopReason = "may_have_run"
	attemptsUsed      stopReason = "attempts_used"
	rejectedByReplica stopReason = "rejected_by_replica"
	noBudget          stopReason = "retry_budget_spent"
	crashesReplicas   stopReason = "crashes_replicas"
)
