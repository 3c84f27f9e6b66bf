package claim

import "time"

// Policy sets the capacity and retention of a ledger. Shards and Segments must be the
// same on all nodes.
type Policy struct {
	// Shards is the number of shards over which keys are distributed.
	Shards int
	// Segments is the number of platform keys in a shard's ring.
	Segments int
	// SegmentBytes is the size at which a segment is sealed.
	SegmentBytes int
	// MaxAnswerBytes limits the encoded answer of one call. Of a larger answer only the
	// status is kept.
	MaxAnswerBytes int
	// AnswerRetention is how long the headers and body of an answer are kept. After that,
	// an ended claim is stored as a short record when its segment is overwritten.
	AnswerRetention time.Duration
	// KeyRetention is how long an ended claim is kept; a later repeat runs again.
	KeyRetention time.Duration
	// InProgressLimit is the age at which an unfinished claim becomes unknown.
	InProgressLimit time.Duration
}

// Defaults of Policy.
const (
	DefaultShards          = 4
	DefaultSegments        = 512
	DefaultSegmentBytes    = 16 << 10
	DefaultMaxAnswerBytes  = 8 << 10
	DefaultAnswerRetention = 10 * time.Minute
	DefaultKeyRetention    = 24 * time.Hour
	DefaultInProgressLimit = 15 * time.Minute
)

// Fractions of a shard's capacity above which the ring is compacted, new claims are
// refused, and only the status of answers is recorded. The remaining capacity is
// reserved for finishing existing claims.
const (
	compactFraction  = 0.50
	fullFraction     = 0.70
	dropBodyFraction = 0.80
)

// fillWarning is the value of ring.fill at which a warning is logged.
const fillWarning = 0.6

// DefaultPolicy returns the default policy.
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

func (p Policy) capacity() int { return p.Segments * p.SegmentBytes }
