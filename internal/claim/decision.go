package claim

import (
	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/refusal"
)

// Decision is the answer to a Command. For a Begin either Verdict or Refused is
// set; for a Finish both are empty.
type Decision struct {
	Verdict Verdict
	// Answer is set for Recorded only.
	Answer *claimv1.Answer
	// Refused is why nothing was claimed; the attempt was not run.
	Refused refusal.Reason
}
