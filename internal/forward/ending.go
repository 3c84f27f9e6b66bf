package forward

// Ending classifies how a call ended, for metrics and logs.
type Ending string

const (
	// EndedComplete means that the caller got a complete successful response.
	EndedComplete Ending = "whole"
	// EndedReplicaFailure means that the caller got a replica's error response.
	EndedReplicaFailure Ending = "replica_failure"
	// EndedRefused means that the call certainly did not run, and the caller was told so.
	EndedRefused Ending = "refused"
	// EndedUnknown means that the call failed and may have run.
	EndedUnknown Ending = "unknown"
	// EndedTimeout means that the deadline passed before a response started.
	EndedTimeout Ending = "timeout"
	// EndedBroken means that the response was cut off after it had started.
	EndedBroken Ending = "broken"
	// EndedQuarantined means that the call was refused because it crashed replicas.
	EndedQuarantined Ending = "quarantined"
	// EndedCallerGone means that the caller disconnected.
	EndedCallerGone Ending = "caller_gone"
)
