package router

import "time"

// Request is what the decisions know of one request.
type Request struct {
	ID        string
	Workspace string
	Class     string
	// Tier is the class's tier; 0 is the highest.
	Tier int
	// Model is the model or adapter asked for.
	Model string
	// Arrived is when the node took the request.
	Arrived time.Time
	// FirstTokenBy and AnswerBy are the class's targets as points in time;
	// zero where there is none.
	FirstTokenBy time.Time
	AnswerBy     time.Time
	// GiveUpAt is when an answer is of no more use.
	GiveUpAt time.Time
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the caller's bound of the answer; zero where there is none.
	MaxTokens int
	// PrefixHashes identify the prompt's prefixes, shortest first.
	PrefixHashes []uint64
	// Fingerprint identifies the content (workspace, model, body).
	Fingerprint uint64
	// Attempt counts from 1.
	Attempt int
	// Avoid names replicas already tried.
	Avoid []string
}
