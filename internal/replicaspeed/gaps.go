package replicaspeed

import (
	"slices"
	"time"
)

const (
	// gapsPerGroup is the number of pauses between events that make one observation.
	gapsPerGroup = 4
	// groupTime is the time after which a group is complete with two pauses: a replica that has
	// become slow is observed as soon as a fast one.
	groupTime = 150 * time.Millisecond
	// minGap is the pause below which data belongs to the event before: an event may be read in
	// several parts.
	minGap = time.Millisecond
)

// Gaps collects the pauses between the events of one answer. The zero value is ready for use.
type Gaps struct {
	lastAt time.Time
	gaps   [gapsPerGroup]time.Duration
	count  int
}

// LastAt returns when the last event came; zero: none came.
func (g *Gaps) LastAt() time.Time { return g.lastAt }

// Add records an event. When a group of pauses is complete, it returns the typical pause and the
// time that the group took; otherwise zero. The typical pause is the lower median: pauses in
// which a prompt was prefilled, and events that were read late, have little effect on it.
func (g *Gaps) Add(now time.Time) (typical, took time.Duration) {
	if g.lastAt.IsZero() {
		g.lastAt = now
		return 0, 0
	}
	gap := now.Sub(g.lastAt)
	if gap < minGap {
		return 0, 0
	}
	g.lastAt = now
	g.gaps[g.count] = gap
	g.count++
	for _, gap := range g.gaps[:g.count] {
		took += gap
	}
	if g.count < 2 || (g.count < gapsPerGroup && took < groupTime) {
		return 0, 0
	}
	group := g.gaps[:g.count]
	slices.Sort(group)
	typical = group[(g.count-1)/2]
	g.count = 0
	return typical, took
}
