package placement

import (
	"math"
	"time"

	"galenatrestle/internal/replica"
)

type replicaState struct {
	replica replica.Replica
	// running is the number of this node's attempts at the replica, runningShort those of classes
	// with short prompts, prefillBacklog the prompt tokens of attempts without a first byte, and
	// tokensInMemory what all attempts take of the replica's memory.
	running        int
	prefillBacklog PrefillBacklog
	runningShort   int
	tokensInMemory int
	// The peers fields are the other nodes' sums as last reported.
	peersRunning        int
	peersPrefillBacklog PrefillBacklog
	peersRunningShort   int
	peersTokensInMemory int
	peersFailureScore   float64
	// failureScore decays with failureHalfLife; scoredAt is when it was last computed.
	failureScore float64
	scoredAt     time.Time
	// lastDataAt is when data was last received from the replica. waitingSince is when this node
	// sent a request to the replica after a time without attempts there; zero: none was sent.
	lastDataAt   time.Time
	waitingSince time.Time
	// unanswered counts the attempts in a row that ended without any response.
	unanswered int
	// presumedPauseEnd is when a pause ends that the replica did not ask for, as far as is known;
	// presumedAt is unanswered as of then.
	presumedPauseEnd time.Time
	presumedAt       int
	cache            cache
	// order is the replica's place among the available ones by hash, and speedClass the class of its
	// speed.
	order, speedClass int
}

// pendingPrefill returns the prompt tokens sent by all nodes and not yet prefilled.
func (s *replicaState) pendingPrefill() int {
	return s.prefillBacklog.Total() + s.peersPrefillBacklog.Total()
}

// prefillAhead returns the part of pendingPrefill that is prefilled before a new request of
// the rank.
func (s *replicaState) prefillAhead(rank int) int {
	return s.prefillBacklog.upTo(rank) + s.peersPrefillBacklog.upTo(rank)
}

// failureHalfLife is the half-life of a failure score: long enough to keep load off a replica
// that fails part of its requests, short enough to return soon to a restarted one.
const failureHalfLife = 2 * time.Second

func (s *replicaState) failureScoreAt(now time.Time) float64 {
	if s.failureScore == 0 {
		return 0
	}
	age := now.Sub(s.scoredAt)
	return s.failureScore * math.Exp2(-age.Seconds()/failureHalfLife.Seconds())
}

// recordResponse counts attempts that timed out without a response, and resets the count at one that
// got a response, a refusal included.
func (s *replicaState) recordResponse(result Result) {
	switch result {
	case TimedOut:
		s.unanswered++
	case Answered, Full, Errored:
		s.responded()
	}
}

// responded ends a presumed pause: the replica's responses arrive again.
func (s *replicaState) responded() {
	s.unanswered, s.presumedAt, s.presumedPauseEnd = 0, 0, time.Time{}
}

func (s *replicaState) addFailure(now time.Time, penalty float64) {
	s.failureScore = s.failureScoreAt(now) + penalty
	s.scoredAt = now
}

func (s *replicaState) recover(now time.Time) {
	if s.failureScore == 0 {
		return
	}
	s.failureScore = s.failureScoreAt(now) * successDecay
	s.scoredAt = now
	if s.failureScore < negligibleFailures {
		s.failureScore = 0
	}
}

const (
	// successDecay is the factor applied to the failure score on success: a replica that fails 4
	// in 10 requests keeps a score well above 1.
	successDecay = 0.7
	// negligibleFailures is the score below which it is reset to zero.
	negligibleFailures = 0.05
)

// unresponsiveFor returns how long the replica has sent no data while attempts wait for it.
func (s *replicaState) unresponsiveFor(now time.Time) time.Duration {
	if s.running == 0 || s.waitingSince.IsZero() {
		return 0
	}
	since := s.waitingSince
	if s.lastDataAt.After(since) {
		since = s.lastDataAt
	}
	return max(now.Sub(since), 0)
}
