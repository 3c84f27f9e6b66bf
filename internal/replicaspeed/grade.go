package replicaspeed

import "time"

// Grade is how a replica's best pace compares with the median of its upstream. All nodes order
// replicas by it, so it changes seldom. A higher grade is faster.
type Grade int

// The grades.
const (
	SlowGrade  Grade = -1
	UsualGrade Grade = 0
	FastGrade  Grade = 1
)

// The ratios to the median at which the grade changes. Those to enter and to leave differ, so that
// noise of a few hundredths does not reorder the replicas.
const (
	enterSlowGrade, leaveSlowGrade = 0.87, 0.93
	enterFastGrade, leaveFastGrade = 1.3, 1.18
)

// next returns the grade of a replica with the ratio that had this grade.
func (g Grade) next(ratio float64) Grade {
	switch {
	case ratio > enterFastGrade || g == FastGrade && ratio > leaveFastGrade:
		return FastGrade
	case ratio < enterSlowGrade || g == SlowGrade && ratio < leaveSlowGrade:
		return SlowGrade
	default:
		return UsualGrade
	}
}

// Grades updates the grades from the paces, in the same order, and reports whether any has changed.
// A replica without a known pace is usual.
func Grades(now time.Time, paces []*BestPace, grades []Grade) bool {
	median := medianPace(now, paces)
	changed := false
	for i, p := range paces {
		next := UsualGrade
		if ms := p.MS(now); ms > 0 {
			next = grades[i].next(median / ms)
		}
		changed = changed || next != grades[i]
		grades[i] = next
	}
	return changed
}
