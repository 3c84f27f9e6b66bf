package retry

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	latencyShards = 16
	// sketchAccuracy is the relative error of a quantile.
	sketchAccuracy = 0.02
	// sketchBins bounds a sketch's memory.
	sketchBins = 256
	// generationSpan is how long a sketch takes samples; the one before it is
	// read until the new one has enough.
	generationSpan = time.Minute
	// minSamples is the least a quantile is told from.
	minSamples = 50
)

// latencies holds the recent first token times of each key.
type latencies struct {
	seed   maphash.Seed
	shards [latencyShards]latencyShard
}

type latencyShard struct {
	mu       sync.Mutex
	sketches map[budgetKey]*generations
}

// generations are the current and the previous sketch of one key.
type generations struct {
	began    time.Time
	current  *ddsketch.DDSketch
	previous *ddsketch.DDSketch
}

func newLatencies() *latencies {
	l := &latencies{seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].sketches = make(map[budgetKey]*generations)
	}
	return l
}

func (l *latencies) shard(key budgetKey) *latencyShard {
	return &l.shards[maphash.Comparable(l.seed, key)%latencyShards]
}

func newSketch() *ddsketch.DDSketch {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
	if err != nil {
		// The arguments are constants, so that only a change of them fails.
		panic(err)
	}
	return sketch
}

// observe adds one sample; keys past the shard's bound are not kept.
func (l *latencies) observe(now time.Time, key budgetKey, d time.Duration) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.sketches[key]
	if !ok && len(s.sketches) >= maxKeysPerShard {
		return
	}
	if !ok {
		g = &generations{began: now, current: newSketch(), previous: newSketch()}
		s.sketches[key] = g
	}
	if now.Sub(g.began) >= generationSpan {
		g.began, g.current, g.previous = now, newSketch(), g.current
	}
	// Durations are not negative, which is all that Add can refuse here.
	_ = g.current.Add(max(d, 0).Seconds())
}

// quantile returns the key's quantile q, or false where too little is known.
func (l *latencies) quantile(key budgetKey, q float64) (time.Duration, bool) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.sketches[key]
	if !ok {
		return 0, false
	}
	sketch := g.current
	if sketch.GetCount() < minSamples {
		sketch = g.previous
	}
	if sketch.GetCount() < minSamples {
		return 0, false
	}
	seconds, err := sketch.GetValueAtQuantile(q)
	if err != nil {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}
