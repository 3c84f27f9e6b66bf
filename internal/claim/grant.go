package claim

import "github.com/google/uuid"

// Token is the right to finish one claim.
type Token struct {
	Key Key
	// Attempt is the unique id of the Begin that made the claim.
	Attempt uuid.UUID
}

// BeginResult is the result of Begin.
type BeginResult struct {
	Verdict Verdict
	// Token finishes the claim; set for Run only.
	Token Token
	// Answer is set for Recorded only.
	Answer Answer
}
