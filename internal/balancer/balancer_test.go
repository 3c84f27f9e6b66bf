package balancer

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

func TestExpectedFinish(t *testing.T) {
	estimate := RequestEstimate{Prefill: time.Second, Decode: 5 * time.Second}
	usual := Candidate{Running: 2, Limit: 8, Slowness: 1, SameZone: true, ReportAge: -1}
	with := func(change func(*Candidate)) Candidate {
		c := usual
		change(&c)
		return c
	}
	tests := map[string]struct {
		worse, better Candidate
	}{
		"less busy":           {with(func(c *Candidate) { c.Running = 6 }), usual},
		"faster":              {with(func(c *Candidate) { c.Slowness = 1.5 }), usual},
		"cached":              {usual, with(func(c *Candidate) { c.CachedFraction = 0.5 })},
		"same zone":           {with(func(c *Candidate) { c.SameZone = false }), usual},
		"lower reported load": {with(func(c *Candidate) { c.ReportAge, c.ReportedRunning = 0, 60 }), with(func(c *Candidate) { c.ReportAge, c.ReportedRunning = 0, 4 })},
		"fast over cached": {
			with(func(c *Candidate) { c.Slowness, c.CachedFraction = 2, 0.9 }), usual,
		},
	}
	policy := ExpectedFinish{Rand: rand.New(rand.NewPCG(1, 1))}
	for name, test := range tests {
		for range 10 {
			if got := policy.Choose(estimate, []Candidate{test.worse, test.better}); got != 1 {
				t.Errorf("%s: chose %d, want 1", name, got)
			}
			if got := policy.Choose(estimate, []Candidate{test.better, test.worse}); got != 0 {
				t.Errorf("%s: chose %d, want 0", name, got)
			}
		}
	}
}

func TestTokenLatencySlowness(t *testing.T) {
	var p TokenLatency
	for range 100 {
		p.Observe(start, 0.250)
	}
	if got := p.Slowness(start, 0.025, 1, 0); got < 9 {
		t.Errorf("slowness = %.1f, want about 10", got)
	}
	if got := p.Slowness(start.Add(10*slownessHalfLife), 0.025, 0, 0); got >= StragglerThreshold {
		t.Errorf("slowness = %.1f after ten half-lives, want below %.1f", got, StragglerThreshold)
	}
	var fast TokenLatency
	for range 100 {
		fast.Observe(start, 0.009)
	}
	if got := fast.Slowness(start, 0.001, 1, 0); got >= StragglerThreshold {
		t.Errorf("slowness = %.1f of a replica at 9 ms a token, want below %.1f", got, StragglerThreshold)
	}
	var stalled TokenLatency
	stalled.RecordProgress(start)
	if got := stalled.Slowness(start.Add(5*time.Second), 0.025, 1, time.Second); got < StragglerThreshold {
		t.Errorf("slowness = %.1f of a stalled replica, want at least %.1f", got, StragglerThreshold)
	}
	if got := stalled.Slowness(start.Add(5*time.Second), 0.025, 0, time.Second); got >= StragglerThreshold {
		t.Errorf("slowness = %.1f of an idle replica, want less than the straggler threshold", got)
	}
}

func TestPrefixesAreBoundedAndDropped(t *testing.T) {
	var p PrefixHistory
	for hash := range uint64(10 * maxPrefixes) {
		p.Add([]uint64{hash})
		if len(p.lastUse) > maxPrefixes {
			t.Fatalf("%d prefixes, want at most %d", len(p.lastUse), maxPrefixes)
		}
	}
	last := uint64(10*maxPrefixes - 1)
	hashes := []uint64{last, 1 << 40}
	if got := p.Match(hashes); got != 0.5 {
		t.Errorf("Match = %v, want 0.5", got)
	}
	p.Drop(hashes)
	if got := p.Match(hashes); got != 0 {
		t.Errorf("Match = %v after Drop, want 0", got)
	}
}
