package usage

import (
	"maps"
	"slices"
	"time"
)

// Book is the stored state of all windows that are not reported yet. It is not safe for
// concurrent use.
type Book struct {
	// Length is the length of a window.
	Length time.Duration `json:"length"`
	// Next is the first window whose sums are not final.
	Next int64 `json:"next"`
	// Open are the counts of the windows from Next on, by window and source.
	Open map[int64]map[string]Counts `json:"open,omitempty"`
	// Fixed are the final sums of windows to report, by window.
	Fixed map[int64]Counts `json:"fixed,omitempty"`
}

// NewBook returns an empty book that begins with the window of now.
func NewBook(length time.Duration, now time.Time) *Book {
	b := &Book{Length: length, Next: Window(now, length)}
	b.initMaps()
	return b
}

// initMaps creates the maps that are missing in a stored record.
func (b *Book) initMaps() {
	if b.Open == nil {
		b.Open = make(map[int64]map[string]Counts)
	}
	if b.Fixed == nil {
		b.Fixed = make(map[int64]Counts)
	}
}

// Merge adds the counts of a source. Counts of one source never decrease, so the higher
// count is the newer one. It ignores windows whose sums are fixed and returns the number
// of requests counted in them.
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
		sources[source] = maxCounts(sources[source], counts)
	}
	return late
}

// maxCounts updates known to the higher of both counts for each workspace.
func maxCounts(known, received Counts) Counts {
	if known == nil {
		return maps.Clone(received)
	}
	for workspace, n := range received {
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

// Fix finalizes the sums of all windows that ended by endedBefore, and reports whether
// there were any. This includes windows without requests, since the platform expects a
// report for each window. Windows in kept get the sums that were final before.
func (b *Book) Fix(endedBefore time.Time, kept map[int64]FinalSums) bool {
	fixed := false
	for ; !End(b.Next, b.Length).After(endedBefore); b.Next++ {
		if before, ok := kept[b.Next]; ok {
			b.Fixed[b.Next] = before.Counts
		} else {
			b.Fixed[b.Next] = b.sum(b.Next)
		}
		delete(b.Open, b.Next)
		fixed = true
	}
	return fixed
}

// sum adds up the counts of an open window.
func (b *Book) sum(window int64) Counts {
	sums := make(Counts)
	for _, counts := range b.Open[window] {
		for workspace, n := range counts {
			sums[workspace] += n
		}
	}
	return sums
}

// Skip drops the open windows that ended by endedBefore, which are too old to report
// after a long outage, and returns how many.
func (b *Book) Skip(endedBefore time.Time) int64 {
	first := Window(endedBefore, b.Length)
	skipped := max(first-b.Next, 0)
	b.Next = max(b.Next, first)
	maps.DeleteFunc(b.Open, func(window int64, _ map[string]Counts) bool { return window < b.Next })
	return skipped
}

// ToSend returns the reports that the platform has not accepted yet, oldest first.
func (b *Book) ToSend() []Report {
	var list []Report
	for _, window := range slices.Sorted(maps.Keys(b.Fixed)) {
		list = append(list, Report{Window: window, Requests: b.Fixed[window]})
	}
	return list
}

// Sent removes the window's report after the platform has accepted it.
func (b *Book) Sent(window int64) { delete(b.Fixed, window) }
