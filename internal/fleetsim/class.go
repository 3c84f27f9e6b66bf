package fleetsim

import (
	"math"
	"math/rand/v2"
	"time"
)

// Class is one kind of requests, and what their callers expect.
type Class struct {
	Name string
	Rank int
	// PerSecond is how many come at the usual load.
	PerSecond float64
	Objective time.Duration
	MaxPause  time.Duration
	Patience  time.Duration
	// OwnTokens and AnswerTokens are the usual lengths; they vary by Spread, the
	// deviation of their logarithm.
	OwnTokens    float64
	AnswerTokens float64
	Spread       float64
	// Sessions is the number of shared prompts, each of SharedTokens.
	Sessions     int
	SharedTokens int
	// Common is the number of parts of CommonTokens with which the shared prompts begin;
	// zero: they have none in common.
	Common       int
	CommonTokens int
	// Skew makes some sessions more popular than others: a session is that of the lowest
	// Sessions times a random fraction to the power of 1+Skew.
	Skew float64
}

// session draws the number of a session, from 0.
func (c *Class) session(random *rand.Rand) int {
	if c.Skew == 0 {
		return random.IntN(c.Sessions)
	}
	return int(float64(c.Sessions) * math.Pow(random.Float64(), 1+c.Skew))
}

// length draws a length with the mean.
func length(random *rand.Rand, mean, spread float64) int {
	x := mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	return int(max(1, min(x, 8*mean)))
}
