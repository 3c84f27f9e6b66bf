package replicaspeed

import (
	"slices"
	"time"
)

const (
	// paceMemory is the time in which a best pace that is not seen again grows by half, so that a
	// replica that has become slower for good loses its place.
	paceMemory = 30 * time.Second
	// minPaceEvents is the number of events from which an answer tells a pace: single events arrive
	// together or late.
	minPaceEvents = 6
)

// BestPace is the shortest mean time between events of an answer, in milliseconds, that a replica has
// shown lately. Prompts that are prefilled beside an answer and passing slowdowns only lengthen it, so
// that it compares the replicas themselves and not what they happened to run: the mean pace of quick
// replicas with much work was that of slow ones with little. The zero value is not known.
type BestPace struct {
	ms float64
	at time.Time
}

// ObserveAnswer records a complete answer whose events after the first took this long.
func (p *BestPace) ObserveAnswer(now time.Time, events int, took time.Duration) {
	if events >= minPaceEvents {
		p.Observe(now, milliseconds(took)/float64(events))
	}
}

// Observe records a pace that this or another node has seen.
func (p *BestPace) Observe(now time.Time, ms float64) {
	if ms <= 0 {
		return
	}
	if best := p.MS(now); best == 0 || ms <= best {
		p.ms, p.at = ms, now
	}
}

// MS returns the pace in milliseconds; zero: not known.
func (p *BestPace) MS(now time.Time) float64 {
	if p.ms == 0 {
		return 0
	}
	return p.ms * (1 + now.Sub(p.at).Seconds()/(2*paceMemory.Seconds()))
}

// Recent returns the pace if it was observed within the window, otherwise zero.
func (p *BestPace) Recent(now time.Time, window time.Duration) float64 {
	if now.Sub(p.at) > window {
		return 0
	}
	return p.ms
}

// knownPaces returns the known paces, the shortest first.
func knownPaces(now time.Time, paces []*BestPace) []float64 {
	known := make([]float64, 0, len(paces))
	for _, p := range paces {
		if ms := p.MS(now); ms > 0 {
			known = append(known, ms)
		}
	}
	slices.Sort(known)
	return known
}
