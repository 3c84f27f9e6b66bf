package enginespeed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// engine answers after a fixed latency plus the prefill time of the prompt.
type engine struct {
	tokensPerMS float64
	fixedMS     float64
}

func (e engine) answer(tokens int, noise float64) time.Duration {
	return time.Duration((e.fixedMS + float64(tokens)/e.tokensPerMS) * noise * float64(time.Millisecond))
}

// prompts draws a log-normal prompt length: many short prompts and a few long ones.
func prompts(random *rand.Rand) int {
	return int(200 + 400*math.Exp(2*random.NormFloat64()))
}

func TestEstimatorConvergesToEngineSpeed(t *testing.T) {
	for name, e := range map[string]engine{
		"initial estimate":         {50, 20},
		"four times slower":        {12, 60},
		"four times faster":        {200, 8},
		"high fixed latency, fast": {100, 100},
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
					got := time.Duration(r.fixedMS*float64(time.Millisecond)) + r.PrefillTime(tokens)
					want := e.answer(tokens, 1)
					if ratio := float64(got) / float64(want); ratio < 0.7 || ratio > 1.4 {
						t.Errorf("seed %d: expected first token after %s for %d tokens, want about %s", seed, got, tokens, want)
					}
				}
			}
		})
	}
}

func TestEstimatorDetectsSlowEngineWithinTenAnswers(t *testing.T) {
	slow := engine{15, 30}
	r := NewEstimator()
	for range 10 {
		r.Observe(8000, slow.answer(8000, 1))
	}
	if speed := r.TokensPerMS(); speed > 25 {
		t.Errorf("estimated %.0f tokens/ms after ten long prompts, want at most 25 for an engine of 15", speed)
	}
}

// Two answers in five are outliers: the prompt was unexpectedly cached, or the replica stalled.
func TestEstimatorIgnoresOutliers(t *testing.T) {
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
		t.Errorf("estimated %.0f tokens/ms with two outliers in five answers, want about 50", speed)
	}
}

func TestEstimatorRecoversFromExtremeAnswers(t *testing.T) {
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
		t.Errorf("estimated %.0f tokens/ms after recovery, want about 50", speed)
	}
}
