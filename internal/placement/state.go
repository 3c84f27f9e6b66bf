package placement

import (
	"math"
	"time"

	"galenatrestle/internal/replica"
)

// state is what is known of one replica.
type state struct {
	replica replica.Replica
	// running counts this node's attempts there; reading the prompt tokens of
	// those that have brought nothing yet; tokens is what all of them take of
	// the replica's memory.
	// light counts those of the running attempts whose class is light.
	running int
	reading PrefillBacklog
	light   int
	tokens  int
	// peersRunning and the like are the other nodes' sums as last told.
	peersRunning int
	peersReading PrefillBacklog
	peersLight   int
	peersTokens  int
	// peersFailures is the other nodes' failure score as last told.
	peersFailures float64
	// failures is a score that halves every failureHalfLife; failedAt is when
	// it was last worked out.
	failures float64
	failedAt time.Time
	// heardAt is the last byte from the replica; waitingSince the start of the
	// oldest attempt since then that has brought nothing.
	heardAt      time.Time
	waitingSince time.Time
	cache        cache
}

// toRead is the prompt tokens that all nodes have sent there and that are not read
// yet.
func (s *state) toRead() int { return s.reading.Total() + s.peersReading.Total() }

// ahead is the part of toRead that is read before a new request of the rank.
func (s *state) ahead(rank int) int { return s.reading.upTo(rank) + s.peersReading.upTo(rank) }

// failureHalfLife is the time in which a failure counts half: long enough to
// keep off a replica that fails part of its requests, short enough to come back
// to one that was restarted.
const failureHalfLife = 2 * time.Second

// failuresAt is the failure score at now.
func (s *state) failuresAt(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	age := now.Sub(s.failedAt)
	return s.failures * math.Exp2(-age.Seconds()/failureHalfLife.Seconds())
}

func (s *state) fail(now time.Time, penalty float64) {
	s.failures = s.failuresAt(now) + penalty
	s.failedAt = now
}

// recover takes a part of the failures back after a success.
func (s *state) recover(now time.Time) {
	if s.failures == 0 {
		return
	}
	s.failures = s.failuresAt(now) * successForgives
	s.failedAt = now
	if s.failures < negligibleFailures {
		s.failures = 0
	}
}

const (
	// successForgives is the part of the failure score that remains after a
	// success: a replica that fails 4 in 10 keeps a score well above 1.
	successForgives = 0.7
	// negligibleFailures is the score that is forgotten.
	negligibleFailures = 0.05
)

// silence is how long the replica has been silent though attempts wait for it.
func (s *state) silence(now time.Time) time.Duration {
	if s.running == 0 || s.waitingSince.IsZero() {
		return 0
	}
	since := s.waitingSince
	if s.heardAt.After(since) {
		since = s.heardAt
	}
	return max(now.Sub(since), 0)
}
