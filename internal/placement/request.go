package placement

// PromptPart is one part of a prompt, which replicas cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what a choice needs to know.
type Request struct {
	// Class groups requests of about the same size.
	Class string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// PromptTokens is the length of the whole prompt; zero for a plain service.
	PromptTokens int
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int
	// MemoryTokens bounds the tokens in a replica's memory; zero: not known.
	MemoryTokens int
	// CanCopyCache says that a replica can copy cached parts from another one.
	CanCopyCache bool
	// Shared are the prompt's parts that other requests have too, in order.
	Shared []PromptPart
	// ExcludeRateLimited keeps the request from replicas that name a rate.
	ExcludeRateLimited bool
	// Avoid names replicas that have failed this request already.
	Avoid []string
	// FailedZones are the availability zones of these.
	FailedZones []string
}

// tokens is what the request takes of a replica's memory.
func (r *Request) tokens() int { return r.PromptTokens + r.AnswerTokens }

// sharedTokens is the length of the shared parts.
func (r *Request) sharedTokens() int {
	return length(r.Shared)
}

// length is the tokens of the parts.
func length(parts []PromptPart) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}
