package claim

import "github.com/google/uuid"

// Token identifies the claim that its owner must finish.
type Token struct {
	Key Key
	// Attempt is the unique ID of the Begin that made the claim.
	Attempt uuid.UUID
}

// BeginResult is the result of Begin.
type BeginResult struct {
	Verdict Verdict
	// Token finishes the claim; set only for Run.
	Token Token
	// Answer is set only for Recorded.
	Answer Answer
}
