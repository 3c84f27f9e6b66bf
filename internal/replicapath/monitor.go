package replicapath

import (
	"maps"
	"slices"
	"time"
)

const (
	// minFailedReplicas is the number of distinct replicas to which connections failed in a row
	// from which the path is checked.
	minFailedReplicas = 2
	// minFailureCheckPause and minSilenceCheckPause are the pauses after a check that succeeded
	// before the next one. Silence is weaker evidence: replicas may just be slow.
	minFailureCheckPause = 250 * time.Millisecond
	minSilenceCheckPause = time.Second
	// maxFailedReplicas bounds the addresses kept.
	maxFailedReplicas = 16
)

// monitor decides when the path needs a check and whether it is lost. It is not safe for
// concurrent use.
type monitor struct {
	// failed are the replicas to which connections failed since the last success.
	failed map[string]bool
	// checkedAt is when the last check ended.
	checkedAt time.Time
	// passedAt is when a check last found that the path works.
	passedAt time.Time
	// lostAt is when the path was lost; zero: it works.
	lostAt time.Time
}

// connected records that a new connection succeeded.
func (m *monitor) connected() { m.failed = nil }

// connectFailed records that no connection to the address could be opened. It reports whether the
// path needs a check.
func (m *monitor) connectFailed(now time.Time, address string) bool {
	if m.failed == nil {
		m.failed = make(map[string]bool)
	}
	if len(m.failed) < maxFailedReplicas {
		m.failed[address] = true
	}
	return !m.isLost() && len(m.failed) >= minFailedReplicas && !m.isFresh(now)
}

// isFresh reports whether a check has just succeeded.
func (m *monitor) isFresh(now time.Time) bool { return now.Sub(m.passedAt) < minFailureCheckPause }

// isSilent reports whether the path needs a check because requests have waited for so long without
// any data from any replica.
func (m *monitor) isSilent(now time.Time, waited time.Duration) bool {
	return !m.isLost() && waited >= maxSilence && now.Sub(m.passedAt) >= minSilenceCheckPause
}

// maxSilence is how long requests wait without data from any replica before the path is checked.
const maxSilence = 700 * time.Millisecond

// checked records the result of a check. It reports whether the path was lost or regained by it.
func (m *monitor) checked(now time.Time, works bool) bool {
	wasLost := m.isLost()
	m.checkedAt = now
	if works {
		m.failed, m.passedAt, m.lostAt = nil, now, time.Time{}
	} else if !wasLost {
		m.lostAt = now
	}
	return m.isLost() != wasLost
}

func (m *monitor) isLost() bool { return !m.lostAt.IsZero() }

// failedAddresses returns the addresses in order.
func (m *monitor) failedAddresses() []string { return slices.Sorted(maps.Keys(m.failed)) }
