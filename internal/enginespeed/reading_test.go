package enginespeed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// engine answers after its first latency and the reading of the tokens.
type engine struct {
	perMS float64
	first float64
}

func (e engine) answer(tokens int, noise float64) time.Duration {
	return time.Duration((e.first + float64(tokens)/e.perMS) * noise * float64(time.Millisecond))
}

// prompts draws lengths as they come: many short ones, and some long ones behind
// others.
func prompts(random *rand.Rand) int {
	return int(200 + 400*math.Exp(2*random.NormFloat64()))
}

func TestTheSpeedOfAnEngineIsFoundFromItsAnswers(t *testing.T) {
	for name, e := range map[string]engine{
		"the assumed one":        {50, 20},
		"four times slower":      {12, 60},
		"four times quicker":     {200, 8},
		"a slow start, quick on": {100, 100},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				random := rand.New(rand.NewPCG(seed, 1))
				r := NewEstimator()
				for range 200 {
					tokens := prompts(random)
					r.Observe(tokens, e.answer(tokens, 0.8+0.4*random.Float64()))
				}
				for _, tokens := range []int{500, 3000, 20_000} {
					got := time.Duration(r.first*float64(time.Millisecond)) + r.PrefillTime(tokens)
					want := e.answer(tokens, 1)
					if ratio := float64(got) / float64(want); ratio < 0.7 || ratio > 1.4 {
						t.Errorf("seed %d: %s expected for %d tokens, they take %s", seed, got, tokens, want)
					}
				}
			}
		})
	}
}

func TestASlowEngineIsNoticedWithinAFewAnswers(t *testing.T) {
	slow := engine{15, 30}
	r := NewEstimator()
	for range 10 {
		r.Observe(8000, slow.answer(8000, 1))
	}
	if speed := r.TokensPerMS(); speed > 25 {
		t.Errorf("after ten long prompts an engine of 15 tokens a ms counts as one of %.0f", speed)
	}
}

// Some answers say nothing of the speed: the prompt was cached after all, or the
// replica stood still.
func TestOddAnswersDoNotMoveTheSpeed(t *testing.T) {
	e := engine{50, 20}
	random := rand.New(rand.NewPCG(1, 1))
	r := NewEstimator()
	for i := range 2000 {
		tokens := prompts(random)
		took := e.answer(tokens, 0.8+0.4*random.Float64())
		switch i % 5 {
		case 0:
			took = e.answer(50, 1)
		case 1:
			took *= 40
		}
		r.Observe(tokens, took)
	}
	if speed := r.TokensPerMS(); speed < 25 || speed > 100 {
		t.Errorf("with two odd answers in five, 50 tokens a ms count as %.0f", speed)
	}
}

func TestNoAnswerLeavesFiguresFromWhichThereIsNoWayBack(t *testing.T) {
	r := NewEstimator()
	for range 100_000 {
		r.Observe(1, time.Hour)
	}
	for range 100_000 {
		r.Observe(1_000_000, time.Nanosecond)
	}
	r.Observe(0, time.Second)
	r.Observe(-5, time.Second)
	r.Observe(5, -time.Second)
	e := engine{50, 20}
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		tokens := prompts(random)
		r.Observe(tokens, e.answer(tokens, 1))
	}
	if speed := r.TokensPerMS(); speed < 35 || speed > 70 {
		t.Errorf("50 tokens a ms count as %.0f", speed)
	}
}
