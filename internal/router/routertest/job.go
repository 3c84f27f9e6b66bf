package routertest

import (
	"galenatrestle/internal/router"
)

// job is a request with what the decisions do not know of it.
type job struct {
	request router.Request
	class   int
	// length is the answer's length in tokens.
	length int
	pool   int
	engine *engine
	// prefill is the remaining prefill time in seconds at a usual engine.
	prefill float64
	// made and told are the tokens generated and passed on to the pool.
	made float64
	told int
}

// advance reports whether there are whole new tokens.
func (j *job) advance(prefill, tokens float64) bool {
	if j.prefill > 0 {
		j.prefill -= prefill
		return false
	}
	j.made = min(j.made+tokens, float64(j.length))
	return int(j.made) > j.told
}

func (j *job) whole() bool { return j.told >= j.length }
