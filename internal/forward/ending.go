package forward

// Ending says how a call ended, for counters and logs.
type Ending string

// The endings.
const (
	// EndedComplete calls got a whole answer.
	EndedComplete Ending = "whole"
	// EndedReplicaFailure calls got a failure that the replica gave.
	EndedReplicaFailure Ending = "replica_failure"
	// EndedRefused calls were told that they were not run.
	EndedRefused Ending = "refused"
	// EndedUnknown calls failed and may have run.
	EndedUnknown Ending = "unknown"
	// EndedTimeout calls reached their deadline.
	EndedTimeout Ending = "timeout"
	// EndedBroken streams were cut after their start.
	EndedBroken Ending = "broken"
	// EndedQuarantined calls are refused for having crashed replicas.
	EndedQuarantined Ending = "quarantined"
	// EndedCallerGone calls were left by their caller.
	EndedCallerGone Ending = "caller_gone"
)
