package routertest

import (
	"slices"
	"time"

	"galenatrestle/internal/router"
)

// What every fake engine can do.
const (
	// Knee is the batch size up to which more requests cost little time.
	Knee = 16
	// tokenTime is the time between tokens at the knee.
	tokenTime = 25 * time.Millisecond
	// idlePart is the part of tokenTime that an almost idle engine takes.
	idlePart = 0.8
	// prefillRate is in prompt tokens a second.
	prefillRate = 4000
	// cachedPrefixes is how many prefixes fit into an engine's cache.
	cachedPrefixes = 40
	// prefixPart is the part of a prompt that a cached prefix saves.
	prefixPart = 0.5
)

// engine is a continuously batching engine.
type engine struct {
	name string
	// slow multiplies all times; 1 is usual.
	slow     float64
	running  []*job
	prefixes []uint64
}

// betweenTokens is the time between tokens at the present batch.
func (e *engine) betweenTokens() float64 {
	batch := float64(len(e.running)) / Knee
	part := max(batch, idlePart+(1-idlePart)*batch)
	return part * tokenTime.Seconds() * e.slow
}

func (e *engine) start(j *job) {
	j.engine = e
	j.prefill = float64(j.request.PromptTokens) / prefillRate
	prefix := j.request.PrefixHashes[0]
	if i := slices.Index(e.prefixes, prefix); i >= 0 {
		j.prefill *= 1 - prefixPart
		e.prefixes = slices.Delete(e.prefixes, i, i+1)
	}
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > cachedPrefixes {
		e.prefixes = slices.Delete(e.prefixes, 0, 1)
	}
	e.running = append(e.running, j)
}

func (e *engine) remove(j *job) {
	i := slices.Index(e.running, j)
	e.running = slices.Delete(e.running, i, i+1)
}

// advance moves all jobs on by one tick and returns those with new tokens.
func (e *engine) advance(tick time.Duration, moved []*job) []*job {
	step := tick.Seconds() / e.betweenTokens()
	for _, j := range e.running {
		if j.advance(tick.Seconds()/e.slow, step) {
			moved = append(moved, j)
		}
	}
	return moved
}

func (e *engine) load(now time.Time) router.LoadReport {
	return router.LoadReport{Running: len(e.running), Slots: Knee, At: now}
}
