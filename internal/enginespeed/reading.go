package enginespeed

import (
	"math"
	"time"
)

const (
	// Initial estimate, in milliseconds: a large model on one accelerator prefills 20 to 100
	// tokens per millisecond.
	initialMSPerToken = 1.0 / 50
	initialFixedMS    = 20.0
	// Bounds of the estimate, in milliseconds, so that it recovers soon after many outliers.
	minMSPerToken = 1.0 / 500
	maxMSPerToken = 1.0 / 2
	minFixedMS    = 1.0
	maxFixedMS    = 200.0
	// The relative step of each update decays from initialStep to minStep: large steps find an
	// unknown speed quickly, a speed three times off within ten answers; with small ones the estimate
	// varies by a few hundredths.
	initialStep = 0.3
	minStep     = 0.03
	// stepDecayAnswers is the number of answers after which the step has halved.
	stepDecayAnswers = 10.0
)

// Estimator estimates the prefill speed of an engine's replicas. It is not safe for concurrent
// use.
type Estimator struct {
	// msPerToken is the prefill time per prompt token, fixedMS the part of the time to first token
	// that does not depend on the prompt; both in milliseconds.
	msPerToken float64
	fixedMS    float64
	// answers is the number of observed answers.
	answers float64
}

// NewEstimator returns an estimator set to the speed of a typical engine.
func NewEstimator() *Estimator {
	return &Estimator{msPerToken: initialMSPerToken, fixedMS: initialFixedMS}
}

// Observe updates the estimate with an answer whose first token came after took. tokens is the
// number of prompt tokens that the replica had to prefill before that, including those of
// other requests.
func (e *Estimator) Observe(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	prefillMS := e.msPerToken * float64(tokens)
	expected := e.fixedMS + prefillMS
	step := max(initialStep/(1+e.answers/stepDecayAnswers), minStep)
	if milliseconds(took) < expected {
		step = -step
	}
	// Each component moves in proportion to its share of the expected time.
	e.msPerToken = clamp(e.msPerToken*math.Exp(step*prefillMS/expected), minMSPerToken, maxMSPerToken)
	e.fixedMS = clamp(e.fixedMS*math.Exp(step*e.fixedMS/expected), minFixedMS, maxFixedMS)
	e.answers++
}

// ExpectedMS returns the expected time to first token, in milliseconds, if the tokens are prefilled
// before it.
func (e *Estimator) ExpectedMS(tokens int) float64 { return e.fixedMS + e.PrefillMS(tokens) }

// PrefillTime returns the expected time to prefill the tokens, without the fixed part of the time
// to first token.
func (e *Estimator) PrefillTime(tokens int) time.Duration {
	return time.Duration(e.PrefillMS(tokens) * float64(time.Millisecond))
}

// PrefillMS is PrefillTime in milliseconds.
func (e *Estimator) PrefillMS(tokens int) float64 { return e.msPerToken * float64(tokens) }

// TokensPerMS returns the prefill speed in tokens per millisecond.
func (e *Estimator) TokensPerMS() float64 { return 1 / e.msPerToken }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
