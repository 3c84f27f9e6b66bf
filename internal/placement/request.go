package placement

import "time"

// PromptPart is a contiguous part of a prompt that replicas can cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is the properties of a request that a choice depends on.
type Request struct {
	// Class groups requests of similar size.
	Class string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Yields is whether engines prefill later requests of the same class first. Its time to the first
	// token then says nothing of the prefill speed: learned from such requests, the estimate fell from 44
	// to 5 tokens per ms, and requests were refused for queues that were not there.
	Yields bool
	// PromptTokens is the length of the whole prompt; zero for a plain service.
	PromptTokens int
	// AnswerTokens is the expected length of the answer.
	AnswerTokens int
	// Bytes is the size of the request.
	Bytes int
	// MemoryTokens is the capacity of a replica's memory in tokens; zero: not known.
	MemoryTokens int
	// CanCopyCache is whether replicas can copy cached parts from each other.
	CanCopyCache bool
	// Shared is the leading parts of the prompt that it shares with other requests, in order.
	Shared []PromptPart
	// Version restricts the choice to replicas of this software version; nil: any will do.
	Version *string
	// ExcludeRateLimited excludes replicas that need a permit.
	ExcludeRateLimited bool
	// AwaitsSlot includes brittle replicas that had no free slot a moment ago.
	AwaitsSlot bool
	// Undecided means that the request may yet be refused: it counts as sent once Sent is called.
	Undecided bool
	// Avoid is the IDs of replicas that have already failed this request.
	Avoid []string
	// FailedZones is the availability zones of the replicas in Avoid.
	FailedZones []string
	// Objective is the time within which the first event is to come; zero: none.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream on time; zero: not bounded.
	MaxPause time.Duration
}

// tokens returns the number of tokens that the request takes of a replica's memory.
func (r *Request) tokens() int { return r.PromptTokens + r.AnswerTokens }

// fits reports whether the replica is one that the request may run on, and has the software version that it needs.
func (r *Request) fits(s *replicaState) bool {
	return r.Version == nil || *r.Version == s.replica.Version
}

func (r *Request) sharedTokens() int {
	return totalTokens(r.Shared)
}

func totalTokens(parts []PromptPart) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}
