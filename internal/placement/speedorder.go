package placement

import (
	"cmp"
	"slices"
	"time"

	"galenatrestle/internal/replicaspeed"
)

const (
	// gradeInterval is the time between two computations of the grades.
	gradeInterval = 250 * time.Millisecond
	// paceReportTime is how long a new pace is reported: long enough for an exchange with a hub.
	paceReportTime = time.Second
)

// speedOrder orders the replicas by their grades. Streams with short prompts get the fastest ones: a
// long prompt beside them at a replica of half the speed makes them pause for twice as long. In a
// fleet with a quarter of the replicas 2.2 times as fast, 4 in 100 of the chats there paused for too
// long, and 46 in 100 of those at the others.
type speedOrder struct {
	gradedAt time.Time
	paces    []*replicaspeed.BestPace
	grades   []replicaspeed.Grade
	grading  replicaspeed.Grading
}

// orderBySpeed sorts the available replicas by grade, the fastest first, and then by the hash of their
// IDs, so that nodes that know the same paces have the same order. The lock is held.
func (u *upstream) orderBySpeed(now time.Time) {
	o := &u.speedOrder
	if u.speeds == nil || now.Sub(o.gradedAt) < gradeInterval {
		return
	}
	o.gradedAt = now
	o.paces, o.grades = o.paces[:0], o.grades[:0]
	for _, s := range u.available {
		o.paces, o.grades = append(o.paces, &s.bestPace), append(o.grades, s.grade)
	}
	if !o.grading.Update(now, o.paces, o.grades) {
		return
	}
	for i, s := range u.available {
		s.grade = o.grades[i]
	}
	u.sortAvailable()
}

// sortAvailable sorts the available replicas. The lock is held.
func (u *upstream) sortAvailable() {
	slices.SortFunc(u.available, func(a, b *replicaState) int {
		return cmp.Or(cmp.Compare(b.grade, a.grade), cmp.Compare(a.hashOrder, b.hashOrder))
	})
	u.zones.sync(u.available)
}

// observePace records the pace of a complete answer. The lock is held.
func (a *Attempt) observePace(now time.Time) {
	if a.upstream.speeds == nil || a.answerStartedAt.IsZero() {
		return
	}
	took := now.Sub(a.answerStartedAt)
	a.state.ownPace.ObserveAnswer(now, a.events, took)
	a.state.bestPace.ObserveAnswer(now, a.events, took)
}

// reportedPace returns this node's best pace of the replica if it was observed a moment ago, otherwise
// zero: the other nodes remember it.
func (s *replicaState) reportedPace(now time.Time) float64 {
	return s.ownPace.Recent(now, paceReportTime)
}

// minPace returns the shorter of two paces, of which zero is not known.
func minPace(a, b float64) float64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
