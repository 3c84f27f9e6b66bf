package retry

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	latencyShards = 16
	// sketchAccuracy is the relative error of quantiles.
	sketchAccuracy = 0.02
	sketchBins     = 256
	// sketchLifetime is how long a sketch takes samples. The previous sketch is read until the
	// new one has minSamples.
	sketchLifetime = time.Minute
	minSamples     = 50
)

// latencies records the recent first-token times of each key.
type latencies struct {
	seed   maphash.Seed
	shards [latencyShards]latencyShard
}

type latencyShard struct {
	mu       sync.Mutex
	sketches map[budgetKey]*sketchPair
}

type sketchPair struct {
	startedAt time.Time
	current   *ddsketch.DDSketch
	previous  *ddsketch.DDSketch
}

func newLatencies() *latencies {
	l := &latencies{seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].sketches = make(map[budgetKey]*sketchPair)
	}
	return l
}

func (l *latencies) shard(key budgetKey) *latencyShard {
	return &l.shards[maphash.Comparable(l.seed, key)%latencyShards]
}

func newSketch() *ddsketch.DDSketch {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
	if err != nil {
		// Unreachable: the arguments are constants.
		panic(err)
	}
	return sketch
}

// observe records one sample. Samples of new keys are dropped once the shard is full.
func (l *latencies) observe(now time.Time, key budgetKey, d time.Duration) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	pair, ok := s.sketches[key]
	if !ok && len(s.sketches) >= maxKeysPerShard {
		return
	}
	if !ok {
		pair = &sketchPair{startedAt: now, current: newSketch(), previous: newSketch()}
		s.sketches[key] = pair
	}
	if now.Sub(pair.startedAt) >= sketchLifetime {
		pair.startedAt, pair.current, pair.previous = now, newSketch(), pair.current
	}
	// Add does not fail for non-negative durations.
	_ = pair.current.Add(max(d, 0).Seconds())
}

// quantile returns the key's quantile q, or false if there are too few samples.
func (l *latencies) quantile(key budgetKey, q float64) (time.Duration, bool) {
	s := l.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	pair, ok := s.sketches[key]
	if !ok {
		return 0, false
	}
	sketch := pair.current
	if sketch.GetCount() < minSamples {
		sketch = pair.previous
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
