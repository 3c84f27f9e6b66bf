package resolve

import (
	"time"

	"galenatrestle/internal/platform"
)

// Write is a conditional write whose value carries a unique id.
type Write struct {
	Key string
	// Expect is the revision to be replaced; zero: the key must not exist.
	Expect int64
	Value  []byte
	// Contains tells whether the entry shows that this write took effect:
	// its id is the value's own, or stands in a history that the value keeps.
	// An error says that the value can't be read, which leaves the outcome
	// unknown.
	Contains func(platform.Entry) (bool, error)
	// History is asked where the current entry is a newer one without the id:
	// the write lost, or took effect and was replaced. It tells which, from
	// what later writers keep of those before them (in the value or elsewhere).
	// If it is nil, that case stays Unknown.
	History func(platform.Entry) (bool, error)
}

// Result is the outcome of a write.
type Result struct {
	Outcome Outcome
	// Entry is the key's entry as last seen: where Applied at once, the one
	// written, else the current one, which may already be a later writer's.
	// Its Revision is zero if the key is absent or was never seen.
	Entry platform.Entry
	// Err is the last error: a *platform.ConflictError or the refusal where
	// NotApplied, the failure of the last call where Unknown, else nil.
	Err error
}

// Pauses bound the wait between two reads.
type Pauses struct {
	First time.Duration
	Max   time.Duration
}

// DefaultPauses suit a platform that answers in milliseconds.
var DefaultPauses = Pauses{First: 5 * time.Millisecond, Max: time.Second}
