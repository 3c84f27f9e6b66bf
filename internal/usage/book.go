package usage

import (
	"maps"
	"slices"
	"time"
)

// Book is what is known of the windows that are not reported yet, as it is written to the
// store. It decides what is fixed when; it is for one goroutine.
type Book struct {
	// Length is that of a window.
	Length time.Duration `json:"length"`
	// Next is the first window whose sums are not fixed.
	Next int64 `json:"next"`
	// Open are the counts of the windows from Next on, by window and source.
	Open map[int64]map[string]Counts `json:"open,omitempty"`
	// Fixed are the sums that are to be sent as they stand, by window.
	Fixed map[int64]Counts `json:"fixed,omitempty"`
}

// NewBook begins with the window of now.
func NewBook(length time.Duration, now time.Time) *Book {
	b := &Book{Length: length, Next: Window(now, length)}
	b.fill()
	return b
}

// fill makes the maps that a record left out.
func (b *Book) fill() {
	if b.Open == nil {
		b.Open = make(map[int64]map[string]Counts)
	}
	if b.Fixed == nil {
		b.Fixed = make(map[int64]Counts)
	}
}

// Merge takes in what a source counted. Counts of one source only grow, so that the
// higher one is the newer. Windows whose sums are fixed are left as they are; it returns
// how many requests came too late for theirs.
func (b *Book) Merge(source string, windows map[int64]Counts) (late int64) {
	for window, counts := range windows {
		if window < b.Next {
			late += total(counts)
			continue
		}
		sources, ok := b.Open[window]
		if !ok {
			sources = make(map[string]Counts)
			b.Open[window] = sources
		}
		sources[source] = highest(sources[source], counts)
	}
	return late
}

// highest takes the higher of both counts for each workspace.
func highest(known, told Counts) Counts {
	if known == nil {
		return maps.Clone(told)
	}
	for workspace, n := range told {
		known[workspace] = max(known[workspace], n)
	}
	return known
}

func total(counts Counts) int64 {
	var sum int64
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Fix fixes the sums of the windows that ended before the time, and reports whether there
// were any. Windows in which nothing was counted are fixed too: the platform waits for
// a report of each.
func (b *Book) Fix(endedBefore time.Time) bool {
	fixed := false
	for ; !End(b.Next, b.Length).After(endedBefore); b.Next++ {
		sums := make(Counts)
		for _, counts := range b.Open[b.Next] {
			for workspace, n := range counts {
				sums[workspace] += n
			}
		}
		delete(b.Open, b.Next)
		b.Fixed[b.Next] = sums
		fixed = true
	}
	return fixed
}

// Skip leaves out windows that nobody would take any more, after a long outage, and
// returns how many.
func (b *Book) Skip(endedBefore time.Time) int64 {
	first := Window(endedBefore, b.Length)
	skipped := max(first-b.Next, 0)
	b.Next = max(b.Next, first)
	maps.DeleteFunc(b.Open, func(window int64, _ map[string]Counts) bool { return window < b.Next })
	return skipped
}

// ToSend are the reports that the platform has not taken yet, the oldest first.
func (b *Book) ToSend() []Report {
	var list []Report
	for _, window := range slices.Sorted(maps.Keys(b.Fixed)) {
		list = append(list, Report{Window: window, Requests: b.Fixed[window]})
	}
	return list
}

// Sent notes that the platform has taken the window's report.
func (b *Book) Sent(window int64) { delete(b.Fixed, window) }
