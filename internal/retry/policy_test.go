package retry

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"pgregory.net/rapid"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

var start = time.Unix(1_800_000_000, 0)

// firstFailure returns the failed first attempt of a repeatable request.
func firstFailure(result Result) Attempt {
	return Attempt{
		Class: "quick", Upstream: "llm", Result: result, Peer: "10.0.0.1:1",
		Number: 1, Repeatable: true, Continuable: true, Remaining: time.Minute,
	}
}

func with(a Attempt, change func(*Attempt)) Attempt {
	change(&a)
	return a
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		attempt Attempt
		action  Action
		reason  Reason
		refused refusal.Reason
		outcome refusal.Outcome
	}{
		{"not run", firstFailure(NotRun), Retry, ReasonNotRun, "", ""},
		{"broken before", firstFailure(Broken), Retry, ReasonBroken, "", ""},
		{"crashed", firstFailure(Crashed), Retry, ReasonCrashed, "", ""},
		{"timed out", firstFailure(TimedOut), Retry, ReasonTimedOut, "", ""},
		{"broken in the answer", with(firstFailure(Broken), func(a *Attempt) { a.DeliveredTokens = 3 }),
			Continue, ReasonBrokenAnswer, "", ""},
		{"crashed in the answer", with(firstFailure(Crashed), func(a *Attempt) { a.DeliveredTokens = 3 }),
			Continue, ReasonCrashed, "", ""},
		{"not continuable", with(firstFailure(Broken), func(a *Attempt) { a.DeliveredTokens, a.Continuable = 3, false }),
			GiveUp, "", refusal.UpstreamFailed, refusal.Unknown},
		{"rejected", firstFailure(Rejected), GiveUp, "", refusal.UpstreamRefused, refusal.Unknown},
		{"unrepeatable, not run", with(firstFailure(NotRun), func(a *Attempt) { a.Repeatable = false }),
			Retry, ReasonNotRun, "", ""},
		{"unrepeatable, crashed", with(firstFailure(Crashed), func(a *Attempt) { a.Repeatable = false }),
			GiveUp, "", refusal.OutcomeUnknown, refusal.Unknown},
		{"unrepeatable, crashed earlier", with(firstFailure(NotRun), func(a *Attempt) { a.Repeatable, a.Number = false, 2 }),
			GiveUp, "", refusal.OutcomeUnknown, refusal.Unknown},
		{"no time, not run", with(firstFailure(NotRun), func(a *Attempt) { a.Remaining = 0 }),
			GiveUp, "", refusal.UpstreamRefused, refusal.NotRun},
		{"too little time", with(firstFailure(TimedOut), func(a *Attempt) { a.MinDuration = time.Hour }),
			GiveUp, "", refusal.UpstreamTimeout, refusal.Unknown},
		{"last attempt", with(firstFailure(Crashed), func(a *Attempt) { a.Number = 3 }),
			GiveUp, "", refusal.UpstreamFailed, refusal.Unknown},
		{"third attempt, two not run", with(firstFailure(Crashed), func(a *Attempt) { a.Number, a.NotRunBefore = 3, 2 }),
			Retry, ReasonCrashed, "", ""},
		{"never run", with(firstFailure(NotRun), func(a *Attempt) { a.Number, a.NotRunBefore = maxNotRun, maxNotRun-1 }),
			GiveUp, "", refusal.UpstreamRefused, refusal.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := NewPolicy(config.Limits{}).Decide(start, test.attempt)
			if got.Action != test.action || got.Reason != test.reason {
				t.Fatalf("wrong action or reason in decision %+v", got)
			}
			if test.action != GiveUp {
				return
			}
			refused := got.Refusal
			if refused.Reason != test.refused || refused.Outcome != test.outcome || refused.Peer == "" || refused.Step == "" {
				t.Fatalf("wrong or missing field in refusal %+v", refused)
			}
		})
	}
}

// Unrepeatable calls must not be retried, whatever the sequence of failures, and a refusal
// must not claim that a call did not run if it may have.
func TestDecideInvariants(t *testing.T) {
	results := []Result{NotRun, Broken, Crashed, TimedOut, Rejected}
	rapid.Check(t, func(t *rapid.T) {
		policy := NewPolicy(config.Limits{})
		repeatable := rapid.Bool().Draw(t, "repeatable")
		run, notRun := 0, 0
		for number := 1; ; number++ {
			result := rapid.SampledFrom(results).Draw(t, "result")
			d := policy.Decide(start, Attempt{
				Result: result, Number: number, NotRunBefore: notRun, Repeatable: repeatable, Remaining: time.Second,
			})
			if result == NotRun {
				notRun++
			} else {
				run++
			}
			if d.Action == GiveUp {
				if (d.Refusal.Outcome == refusal.NotRun) != (run == 0) {
					t.Fatalf("outcome %s after %d runs", d.Refusal.Outcome, run)
				}
				return
			}
			if run > 0 && !repeatable {
				t.Fatal("unrepeatable call was retried")
			}
			if run >= defaultMaxAttempts || notRun >= maxNotRun {
				t.Fatalf("attempt added after %d runs and %d not run", run, notRun)
			}
		}
	})
}

func TestBudget(t *testing.T) {
	policy := NewPolicy(config.Limits{RetryBudget: 0.2})
	granted := func(now time.Time, result Result, times int) (n int) {
		for range times {
			if policy.Decide(now, firstFailure(result)).Action != GiveUp {
				n++
			}
		}
		return n
	}
	if n := granted(start, Crashed, 100); n != minAddedAttempts {
		t.Fatalf("%d attempts added without successes, want %d", n, minAddedAttempts)
	}
	if n := granted(start, NotRun, 100); n != notRunAllowance {
		t.Fatalf("%d attempts added after attempts that did not run, want %d", n, notRunAllowance)
	}
	for range 200 {
		policy.RecordSuccess(start, "quick", "llm")
		policy.RecordSuccess(start, "slow", "llm")
	}
	if n := granted(start, NotRun, 100); n != 10 {
		t.Fatalf("%d more attempts added after 200 successes at ratio 0.2, want 10: 40 less %d and %d", n, notRunAllowance, minAddedAttempts)
	}
	if n := granted(start.Add(windowBuckets*bucketDuration), Crashed, 100); n != minAddedAttempts {
		t.Fatalf("%d attempts added after the window, want %d", n, minAddedAttempts)
	}
	refused := policy.Decide(start.Add(windowBuckets*bucketDuration), firstFailure(Crashed)).Refusal
	if refused == nil || refused.Reason != refusal.RetryBudgetSpent || refused.RetryAfter == 0 {
		t.Fatalf("refusal %+v, want an exhausted budget with RetryAfter", refused)
	}
}

func TestBudgetMemoryIsBounded(t *testing.T) {
	policy := NewPolicy(config.Limits{})
	for i := range 3 * budgetShards * maxKeysPerShard {
		policy.RecordSuccess(start, string(rune(i)), "llm")
		policy.ObserveFirstToken(start, string(rune(i)), "llm", time.Second)
	}
	for i := range policy.budget.shards {
		windows := len(policy.budget.shards[i].windows)
		sketches := len(policy.latencies.shards[i].sketches)
		if windows > maxKeysPerShard+1 || sketches > maxKeysPerShard {
			t.Fatalf("%d windows and %d sketches in a shard exceed the bound", windows, sketches)
		}
	}
}

func TestMetrics(t *testing.T) {
	metrics := NewMetrics(prometheus.NewRegistry())
	policy := NewPolicy(config.Limits{})
	metrics.Count(policy.Decide(start, firstFailure(Crashed)))
	metrics.Count(policy.Decide(start, firstFailure(Rejected)))
	metrics.CountHedge()
	for reason, want := range map[Reason]float64{ReasonCrashed: 1, ReasonHedge: 1, ReasonNotRun: 0} {
		if got := testutil.ToFloat64(metrics.added.WithLabelValues(string(Retry), string(reason))); got != want {
			t.Errorf("%s counted %v, want %v", reason, got, want)
		}
	}
	if got := testutil.ToFloat64(metrics.givenUp.WithLabelValues("upstream_refused", "unknown")); got != 1 {
		t.Errorf("refusals counted %v, want 1", got)
	}
}
