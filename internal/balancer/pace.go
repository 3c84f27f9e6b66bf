package balancer

import (
	"math"
	"time"
)

const (
	// averageWeight is the weight of a new sample in the moving average.
	averageWeight = 0.1
	// StragglerThreshold is the slowness from which a replica is a straggler.
	StragglerThreshold = 2.5
	// slownessHalfLife is the time without progress in which the excess slowness of an idle
	// replica is halved, so that a straggler is tried again.
	slownessHalfLife = 30 * time.Second
	// stallFactor typical token times without a token count as a slowness of 1.
	stallFactor = 20
	// Lower bounds in seconds, so that the delays of a busy node do not make fast replicas
	// look slow.
	minTypicalLatency = 0.004
	minStallTime      = 0.5
)

// TokenLatency tracks a replica's time between tokens as observed by this node.
type TokenLatency struct {
	average      float64
	lastProgress time.Time
}

// Observe records a time between tokens, in seconds.
func (t *TokenLatency) Observe(now time.Time, seconds float64) {
	t.lastProgress = now
	if t.average == 0 {
		t.average = seconds
		return
	}
	t.average += averageWeight * (seconds - t.average)
}

// RecordProgress records progress without a time between tokens: an idle replica got a request,
// or an answer began.
func (t *TokenLatency) RecordProgress(now time.Time) { t.lastProgress = now }

// Average returns the moving average in seconds, or zero without samples.
func (t *TokenLatency) Average() float64 { return t.average }

// Slowness returns the average relative to typical, which is in seconds. If requests are
// running, time without progress beyond grace raises it; otherwise slowness above 1 decays.
func (t *TokenLatency) Slowness(now time.Time, typical float64, running int, grace time.Duration) float64 {
	if typical <= 0 {
		return 1
	}
	stallTime := max(stallFactor*typical, minStallTime)
	typical = max(typical, minTypicalLatency)
	slowness := 1.0
	if t.average > 0 {
		slowness = t.average / typical
	}
	sinceProgress := now.Sub(t.lastProgress)
	if running > 0 {
		stallSlowness := (sinceProgress - grace).Seconds() / stallTime
		return max(slowness, stallSlowness)
	}
	if slowness <= 1 {
		return slowness
	}
	return 1 + (slowness-1)*math.Exp2(-sinceProgress.Seconds()/slownessHalfLife.Seconds())
}
