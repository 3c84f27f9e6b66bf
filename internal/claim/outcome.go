package claim

// OutcomeKind says how a claimed call ended.
type OutcomeKind int

// The kinds of outcome.
const (
	// OutcomeRecorded is a whole answer of the upstream.
	OutcomeRecorded OutcomeKind = iota + 1
	// OutcomeReleased is a call proved not run; a repeat may run.
	OutcomeReleased
	// OutcomeUnknown is a call of which a byte may have arrived.
	OutcomeUnknown
)

// Outcome ends a claim.
type Outcome struct {
	Kind OutcomeKind
	// Answer is set for OutcomeRecorded only.
	Answer Answer
}
