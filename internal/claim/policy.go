package claim

import "time"

// Policy bounds what a ledger keeps. All nodes must run with the same Shards
// and Segments.
type Policy struct {
	// Shards is the number of shards the keys are spread over.
	Shards int
	// Segments is the number of platform keys in a shard's ring.
	Segments int
	// SegmentBytes is the size at which a segment is sealed.
	SegmentBytes int
	// MaxAnswerBytes bounds the recorded body and headers of one call; a
	// larger body is dropped and the status kept.
	MaxAnswerBytes int
	// AnswerRetention is how long a recorded body is kept. Afterwards an ended
	// claim is a short record.
	AnswerRetention time.Duration
	// KeyRetention is how long an ended claim is known; a repeat that comes
	// later runs again.
	KeyRetention time.Duration
	// InProgressLimit is the age at which a claim that was not finished is
	// taken as unknown.
	InProgressLimit time.Duration
}

// The defaults of Policy.
const (
	DefaultShards          = 4
	DefaultSegments        = 512
	DefaultSegmentBytes    = 16 << 10
	DefaultMaxAnswerBytes  = 8 << 10
	DefaultAnswerRetention = 10 * time.Minute
	DefaultKeyRetention    = 24 * time.Hour
	DefaultInProgressLimit = 15 * time.Minute
)

// The parts of a shard's capacity past which the ring moves on of itself to
// drop what has expired, claims are refused, and bodies are no longer kept. The
// rest is room for finishing what is claimed.
const (
	compactPart  = 0.50
	fullPart     = 0.70
	bodyFreePart = 0.80
)

// fillWarning is the fill from which operators are warned.
const fillWarning = 0.6

// DefaultPolicy returns the defaults.
func DefaultPolicy() Policy {
	return Policy{
		Shards:          DefaultShards,
		Segments:        DefaultSegments,
		SegmentBytes:    DefaultSegmentBytes,
		MaxAnswerBytes:  DefaultMaxAnswerBytes,
		AnswerRetention: DefaultAnswerRetention,
		KeyRetention:    DefaultKeyRetention,
		InProgressLimit: DefaultInProgressLimit,
	}
}

// capacity returns the bytes a shard's ring holds.
func (p Policy) capacity() int { return p.Segments * p.SegmentBytes }
