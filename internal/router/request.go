package router

import (
	"time"

	"galenatrestle/internal/quarantine"
)

// Request is the part of a request that scheduling needs.
type Request struct {
	ID        string
	Workspace string
	Class     string
	// Tier is set by Submit to the tier of the class; 0 is the highest.
	Tier int
	// Model may name an adapter.
	Model   string
	Arrived time.Time
	// FirstTokenBy and AnswerBy are the deadlines of the class's targets; zero if there is none.
	FirstTokenBy time.Time
	AnswerBy     time.Time
	// GiveUpAt is the time after which an answer is no longer useful.
	GiveUpAt time.Time
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// MaxTokens is the caller's limit on the answer length; zero if there is none.
	MaxTokens int
	// PrefixHashes identify the prefixes of the prompt, shortest first.
	PrefixHashes []uint64
	// Fingerprint identifies the content (workspace, model, body).
	Fingerprint uint64
	// PromptParts are the parts of the prompt that others of its workspace may share.
	PromptParts []quarantine.PromptPart
	// Attempt counts from 1.
	Attempt int
	// Avoid lists the replicas that earlier attempts used.
	Avoid []string
}
