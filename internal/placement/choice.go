package placement

import "time"

// Choice is what was known of a replica when it was chosen, for the log.
type Choice struct {
	// Cost is the expected cost in milliseconds, Among the number of replicas
	// it was chosen from.
	Cost  float64
	Among int
	// Wait is the expected time to the first token.
	Wait time.Duration
	// Used is the part of the replica's memory that the running requests and
	// this one take, each by itself; zero: not known.
	Used float64
	// Running counts the requests there, and Prefill their prompt tokens that
	// are still to be read, both with what other nodes told.
	Running int
	Prefill int
	// Cached is the tokens of the prompt that its cache is thought to hold.
	Cached int
	// Failures is the failure score of this node.
	Failures float64
}

// explain tells what the replica was chosen by. The lock is held.
func (u *upstream) explain(now time.Time, r *Request, s *state, cost float64) Choice {
	c := Choice{
		Cost: cost, Among: len(u.openNow),
		Running: s.running + s.peersRunning, Prefill: s.prefill + s.peersPrefill,
		Cached: s.cache.tokens(now, r.Shared), Failures: s.failuresAt(now),
	}
	if r.PromptTokens > 0 {
		c.Used = u.used(r, s)
		c.Wait = time.Duration(float64(c.Prefill+r.PromptTokens-c.Cached) / prefillRate * float64(time.Millisecond))
	}
	return c
}
