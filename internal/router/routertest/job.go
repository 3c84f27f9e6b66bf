package routertest

import (
	"galenatrestle/internal/router"
)

// job is a request with the simulated state that is hidden from the pools.
type job struct {
	request      router.Request
	class        int
	answerTokens int
	pool         int
	engine       *engine
	// prefill is the remaining prefill time in seconds at normal speed.
	prefill float64
	// generated and reported count tokens, in total and those reported to the pool.
	generated float64
	reported  int
}

// advance reports whether there are tokens to report.
func (j *job) advance(prefill, tokens float64) bool {
	if j.prefill > 0 {
		j.prefill -= prefill
		return false
	}
	j.generated = min(j.generated+tokens, float64(j.answerTokens))
	return int(j.generated) > j.reported
}

func (j *job) complete() bool { return j.reported >= j.answerTokens }
