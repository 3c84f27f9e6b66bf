package budget

import (
	"math/rand/v2"
	"time"
)

// Backoff gives the pauses between attempts that fail: each is drawn from the
// upper half of a bound that doubles from First to Max. It is for one
// goroutine.
type Backoff struct {
	first, max time.Duration
	random     *rand.Rand
	bound      time.Duration
}

// NewBackoff returns a back-off whose jitter comes from random.
func NewBackoff(first, max time.Duration, random *rand.Rand) *Backoff {
	return &Backoff{first: first, max: max, random: random, bound: first}
}

// Next returns the pause before the next attempt.
func (b *Backoff) Next() time.Duration {
	half := b.bound / 2
	pause := half + time.Duration(b.random.Int64N(int64(b.bound-half)+1))
	b.bound = min(2*b.bound, b.max)
	return pause
}

// Reset starts over after a success.
func (b *Backoff) Reset() { b.bound = b.first }
