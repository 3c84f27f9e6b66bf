package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/boottime"
)

// StreamID is a hash of the ID of the caller's attempt that received the stream's first event. Zero
// stands for a stream whose caller does not tell it.
type StreamID uint64

// IDOf returns the stream's ID for the attempt, which is empty if the caller does not tell it.
func IDOf(attempt string) StreamID {
	if attempt == "" {
		return 0
	}
	return StreamID(xxhash.Sum64String(attempt))
}

// Origin is where a stream began.
type Origin struct {
	Upstream string
	// Version is the software version of the replica.
	Version string
}

// Record is the origin of one stream.
type Record struct {
	Stream StreamID
	Origin
	// Until is when the stream can no longer be resumed.
	Until boottime.Instant
}

// maxRetention is the longest time for which a stream can be resumed, and a version of which no
// replica is left counts as one that may have begun streams.
const maxRetention = time.Minute
