package claim

import (
	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/refusal"
)

// Decision is the result of a Command. For a Begin, either Verdict or Refused is set;
// for a Finish, both are empty.
type Decision struct {
	Verdict Verdict
	// Answer is set only for Recorded.
	Answer *claimv1.Answer
	// Refused is the reason why no claim was made; the attempt must not run.
	Refused refusal.Reason
}
