package enginespeed

import (
	"math"
	"time"
)

const (
	// initialPerToken and initialFirst are a usual engine's figures, in milliseconds:
	// a large model on one accelerator reads 20 to 100 tokens in a millisecond.
	initialPerToken = 1.0 / 50
	initialFirst    = 20.0
	// leastPerToken and mostPerToken bound the time for a token, in milliseconds, so
	// that an hour of odd answers leaves a figure from which it finds back.
	leastPerToken = 1.0 / 500
	mostPerToken  = 1.0 / 2
	leastFirst    = 1.0
	mostFirst     = 200.0
	// firstStep is the part by which the first answer moves the estimate, leastStep
	// that by which any does: with the one a speed three times off is found within
	// ten answers, with the other the estimate wavers by a few hundredths.
	firstStep = 0.3
	leastStep = 0.03
	// steadyAfter is the number of answers over which the step falls.
	steadyAfter = 10.0
)

// Estimator is the estimate of the time to the first token. It is for one goroutine
// at a time.
type Estimator struct {
	// perToken is the time for one prompt token, first that which every answer
	// takes, both in milliseconds; zero: not set yet.
	perToken float64
	first    float64
	answers  float64
}

// NewEstimator returns the estimate for an engine of which nothing is known.
func NewEstimator() *Estimator { return &Estimator{perToken: initialPerToken, first: initialFirst} }

// Observe takes in an answer that began after took, and before which the replica
// had to read so many tokens.
func (r *Estimator) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	reading := r.perToken * float64(tokens)
	expected := r.first + reading
	step := max(firstStep/(1+r.answers/steadyAfter), leastStep)
	if milliseconds(took) < expected {
		step = -step
	}
	// Each figure moves by its part in what was expected.
	r.perToken = bounded(r.perToken*math.Exp(step*reading/expected), leastPerToken, mostPerToken)
	r.first = bounded(r.first*math.Exp(step*r.first/expected), leastFirst, mostFirst)
	r.answers++
}

// PrefillTime is the time in which a replica reads the tokens.
func (r *Estimator) PrefillTime(tokens int) time.Duration {
	return time.Duration(r.PrefillMS(tokens) * float64(time.Millisecond))
}

// PrefillMS is Time as a number.
func (r *Estimator) PrefillMS(tokens int) float64 { return r.perToken * float64(tokens) }

// TokensPerMS is the speed.
func (r *Estimator) TokensPerMS() float64 { return 1 / r.perToken }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func bounded(x, least, most float64) float64 { return min(max(x, least), most) }
