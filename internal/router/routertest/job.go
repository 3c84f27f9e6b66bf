package routertest

import (
	"galenatrestle/internal/router"
)

// job is a request with the simulated state that is hidden from the pools.
type job struct {
	request router.Request
	// classIndex is an index into profiles.
	classIndex   int
	answerTokens int
	// poolIndex is the pool that schedules the job.
	poolIndex int
	engine    *engine
	// prefill is the remaining prefill time in seconds at normal speed.
	prefill float64
	// generated and reported count tokens, in total and those reported to the pool.
	generated float64
	reported  int
}

// advance subtracts prefillSeconds from the remaining prefill or, after it, generates tokens. It
// reports whether there are tokens to report to the pool.
func (j *job) advance(prefillSeconds, tokens float64) bool {
	if j.prefill > 0 {
		j.prefill -= prefillSeconds
		return false
	}
	j.generated = min(j.generated+tokens, float64(j.answerTokens))
	return int(j.generated) > j.reported
}

func (j *job) complete() bool { return j.reported >= j.answerTokens }
