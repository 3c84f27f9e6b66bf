package claim

// OutcomeKind classifies how a claimed call ended.
type OutcomeKind int

// The kinds of outcome.
const (
	// OutcomeRecorded means that the upstream returned a complete answer.
	OutcomeRecorded OutcomeKind = iota + 1
	// OutcomeReleased means that the call certainly did not run; a repeat may run.
	OutcomeReleased
	// OutcomeUnknown means that part of the call may have reached the upstream.
	OutcomeUnknown
)

// Outcome describes how a claimed call ended.
type Outcome struct {
	Kind OutcomeKind
	// Answer is set only for OutcomeRecorded.
	Answer Answer
}
