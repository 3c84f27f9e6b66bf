package balancer

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of one token time in a replica's average.
	paceWeight = 0.1
	// SuspectThreshold is the slowness from which a replica is a suspect.
	SuspectThreshold = 2.5
	// forgetHalfLife is the time without news in which the slowness above
	// the usual is halved, so that a suspect is tried again.
	forgetHalfLife = 30 * time.Second
	// silenceFactor times the usual time between tokens without any token
	// counts as a slowness of 1.
	silenceFactor = 20
	// leastUsual bounds the usual time between tokens from below, in
	// seconds: the delays of a busy node must not make stragglers of very
	// fast replicas. leastSilence does so for silence.
	leastUsual   = 0.004
	leastSilence = 0.5
)

// TokenLatency is how fast a replica generates, as seen by this node.
type TokenLatency struct {
	average float64
	// moved is when the last token or binding was.
	moved time.Time
}

// Observe takes in a time between tokens in seconds.
func (p *TokenLatency) Observe(now time.Time, seconds float64) {
	p.moved = now
	if p.average == 0 {
		p.average = seconds
		return
	}
	p.average += paceWeight * (seconds - p.average)
}

// RecordProgress notes other progress at the replica: a binding to an idle one.
func (p *TokenLatency) RecordProgress(now time.Time) { p.moved = now }

// Average is the running average in seconds; zero: nothing seen.
func (p *TokenLatency) Average() float64 { return p.average }

// Slowness is the pace as a multiple of the usual one, in seconds. Of a replica
// with running requests silence counts as well, beyond the allowed time.
func (p *TokenLatency) Slowness(now time.Time, usual float64, running int, allowed time.Duration) float64 {
	if usual <= 0 {
		return 1
	}
	pause := max(silenceFactor*usual, leastSilence)
	usual = max(usual, leastUsual)
	slowness := 1.0
	if p.average > 0 {
		slowness = p.average / usual
	}
	quiet := now.Sub(p.moved)
	if running > 0 {
		silent := (quiet - allowed).Seconds() / pause
		return max(slowness, silent)
	}
	if slowness <= 1 {
		return slowness
	}
	return 1 + (slowness-1)*math.Exp2(-quiet.Seconds()/forgetHalfLife.Seconds())
}
