package overload

import "time"

// lastRefusal is the last refusal that keeps out less urgent requests.
type lastRefusal struct {
	// rank is the most urgent rank refused within refusalWindow for a reason other than
	// MoreUrgentRefused, and at the time of its last refusal. If at is zero, there was none.
	rank int
	at   time.Time
}

// blocks reports whether the rank is refused because a more urgent one was.
func (l *lastRefusal) blocks(now time.Time, rank int) bool { return rank > l.rank && l.recent(now) }

func (l *lastRefusal) recent(now time.Time) bool {
	return !l.at.IsZero() && now.Sub(l.at) < refusalWindow
}

// record records a refusal. A less urgent rank does not replace a more urgent one within
// refusalWindow.
func (l *lastRefusal) record(now time.Time, rank int) {
	if l.recent(now) && rank > l.rank {
		return
	}
	l.rank, l.at = rank, now
}
