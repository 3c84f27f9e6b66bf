package routertest

import (
	"slices"
	"time"

	"galenatrestle/internal/router"
)

const (
	// Knee is the batch size up to which the time between tokens hardly grows.
	Knee = 16
	// tokenTime is the time between tokens at batch size Knee.
	tokenTime = 25 * time.Millisecond
	// idleTokenTimeFraction is the time between tokens of an idle engine as a fraction of tokenTime.
	idleTokenTimeFraction = 0.8
	// prefillRate is in prompt tokens per second.
	prefillRate       = 4000
	maxCachedPrefixes = 40
	// cachedPrefixSaving is the fraction of the prefill saved by a cached prefix.
	cachedPrefixSaving = 0.5
)

// engine is a fake inference engine with continuous batching.
type engine struct {
	name string
	// slowdown multiplies all times; 1 is normal speed.
	slowdown float64
	running  []*job
	prefixes []uint64
}

// tokenInterval returns the time between tokens in seconds at the current batch size.
func (e *engine) tokenInterval() float64 {
	batch := float64(len(e.running)) / Knee
	relativeTime := max(batch, idleTokenTimeFraction+(1-idleTokenTimeFraction)*batch)
	return relativeTime * tokenTime.Seconds() * e.slowdown
}

func (e *engine) start(j *job) {
	j.engine = e
	j.prefill = float64(j.request.PromptTokens) / prefillRate
	prefix := j.request.PrefixHashes[0]
	if i := slices.Index(e.prefixes, prefix); i >= 0 {
		j.prefill *= 1 - cachedPrefixSaving
		e.prefixes = slices.Delete(e.prefixes, i, i+1)
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > maxCachedPrefixes {
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	e.running = append(e.running, j)
}

func (e *engine) remove(j *job) {
	i := slices.Index(e.running, j)
	e.running = slices.Delete(e.running, i, i+1)
}

// advance runs all jobs for one tick and appends those with new tokens to advanced.
func (e *engine) advance(tick time.Duration, advanced []*job) []*job {
	tokens := tick.Seconds() / e.tokenInterval()
	for _, j := range e.running {
		if j.advance(tick.Seconds()/e.slowdown, tokens) {
			advanced = append(advanced, j)
		}
	}
	return advanced
}

func (e *engine) loadReport(now time.Time) router.LoadReport {
	return router.LoadReport{Running: len(e.running), Slots: Knee, At: now}
}
