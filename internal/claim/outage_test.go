package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/refusal"
)

func TestPlatformDown(t *testing.T) {
	cases := []struct {
		name string
		// down is the step at which the outage begins; expired means that the leases
		// expire during it.
		down       step
		expired    bool
		first      callResult
		during     []callResult
		runs       int
		afterwards callResult
	}{
		{"before the claim", stepBeforeClaim, false, resultUnknown, []callResult{resultNotRun}, 0, resultRan},
		// A holder that lost its lease cannot know whether its last write took effect,
		// and cannot process the release, so it returns in progress.
		{"before the claim, leases expired", stepBeforeClaim, true, resultUnknown, []callResult{resultInProgress, resultUnknown}, 0, resultRan},
		{"before the record", stepAfterSend, false, resultRan, []callResult{resultInProgress}, 1, resultRecorded},
		{"before the record, leases expired", stepAfterSend, true, resultRan, []callResult{resultInProgress}, 1, resultRecorded},
		{"after the record", stepAfterRecord, false, resultRan, []callResult{resultRecorded}, 1, resultRecorded},
		{"after the record, leases expired", stepAfterRecord, true, resultRan, []callResult{resultRecorded}, 1, resultRecorded},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
				startOutageAt := func(at step) {
					if at == test.down {
						c.store.setDown(true)
						if test.expired {
							c.expireLeases(true)
						}
					}
				}
				c.nextOutcome = func() OutcomeKind {
					startOutageAt(stepAfterSend)
					return OutcomeRecorded
				}
				startOutageAt(stepBeforeClaim)
				expectResult(t, "the first", c.call(t, nodes[1], testKey, "body", stepNone), test.first)
				startOutageAt(stepAfterRecord)
				// Wait until the release of the abandoned claim reaches the holder.
				time.Sleep(100 * time.Millisecond)
				for _, node := range nodes {
					expectOneOf(t, c.call(t, node, testKey, "body", stepNone), test.during)
				}
				expectRuns(t, c, testKey, test.runs)
				c.store.setDown(false)
				waitUntilSettled()
				expectResult(t, "a repeat afterwards", c.call(t, nodes[2], testKey, "body", stepNone), test.afterwards)
				expectRuns(t, c, testKey, 1)
			})
		})
	}
}

func expectOneOf(t *testing.T, got callResult, allowed []callResult) {
	t.Helper()
	for _, want := range allowed {
		if got == want {
			return
		}
	}
	t.Errorf("a repeat during the outage got %q, want one of %q", got, allowed)
}

// Guards against a call that was refused after BeginTimeout although its caller had time left for
// a slow takeover or write.
func TestClaimWaitsAsLongAsItsContextAllows(t *testing.T) {
	const outage = 3 * time.Second
	for _, test := range []struct {
		name string
		wait time.Duration
		want callResult
	}{
		{"without a deadline", 0, resultUnknown},
		{"deadline before the platform is back", outage - time.Second, resultUnknown},
		{"deadline after the platform is back", outage + 2*time.Second, resultRan},
	} {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
				c.store.setDown(true)
				back := time.AfterFunc(outage, func() { c.store.setDown(false) })
				defer back.Stop()
				ctx := t.Context()
				if test.wait > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, test.wait)
					defer cancel()
				}
				result, err := nodes[1].Begin(ctx, testKey, Fingerprint{})
				switch {
				case err == nil && test.want == resultRan && result.Verdict == Run:
				case err != nil && test.want == resultUnknown && refusal.From(err).Outcome == refusal.Unknown:
				default:
					t.Errorf("got %v, error %v; want %s", result.Verdict, err, test.want)
				}
				c.store.setDown(false)
				waitUntilSettled()
			})
		})
	}
}

// Guards against calls that were never claimed while the platform took longer than CallTimeout:
// each repeat was cut off like the one before.
func TestSlowPlatformDelaysAClaim(t *testing.T) {
	const slow = DefaultCallTimeout * 7 / 5
	withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		c.store.setGate(func(string, []byte) { time.Sleep(slow) })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		for _, node := range nodes {
			result, err := node.Begin(ctx, keyNumber(len(node.name)), Fingerprint{})
			if err != nil || result.Verdict == 0 {
				t.Errorf("%s: got %v, error %v", node.name, result.Verdict, err)
			}
		}
		c.store.setGate(nil)
		waitUntilSettled()
	})
}

// New claims must be refused without waiting while the platform does not respond to the
// current write.
func TestStalledWriteRefusesImmediately(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		c.store.setDown(true)
		expectResult(t, "the first", c.call(t, nodes[0], testKey, "body", stepNone), resultUnknown)
		before := time.Now()
		_, err := nodes[0].Begin(t.Context(), keyNumber(1), Fingerprint{})
		if took := time.Since(before); took != 0 {
			t.Errorf("the second call waited %v", took)
		}
		if refused := refusal.From(err); refused.Reason != refusal.ClaimStoreDown || refused.Outcome != refusal.NotRun {
			t.Errorf("the second call got %v", refused)
		}
		c.store.setDown(false)
		waitUntilSettled()
	})
}

// A full ledger must refuse new claims and accept them again after the old ones have
// expired.
func TestLedgerFull(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster()
		small := func(options *Options) {
			options.Policy.Shards = 1
			options.Policy.Segments = 4
			options.Policy.SegmentBytes = 2 << 10
			options.Policy.AnswerRetention = time.Minute
			options.Policy.KeyRetention = time.Minute
		}
		nodes := []*testNode{c.start(t, "n1", small), c.start(t, "n2", small)}
		waitUntilSettled()
		ran, number := 0, 0
		for ; number < 10_000; number++ {
			_, err := nodes[1].Begin(t.Context(), keyNumber(number), Fingerprint{})
			if err != nil {
				if refused := refusal.From(err); refused.Reason != refusal.ClaimLedgerFull || refused.RetryAfter == 0 {
					t.Errorf("the full ledger refused with %v", refused)
				}
				break
			}
			ran++
		}
		if ran < 20 || ran > 1_000 {
			t.Errorf("the ledger was full after %d claims", ran)
		}
		time.Sleep(DefaultInProgressLimit + 10*time.Minute)
		accepted := false
		for range 30 {
			number++
			got := c.call(t, nodes[1], keyNumber(number), fmt.Sprint(number), stepNone)
			accepted = accepted || got == resultRan
			time.Sleep(2 * time.Second)
		}
		if !accepted {
			t.Error("the ledger accepted no claims after the old ones had expired")
		}
		for _, node := range nodes {
			node.stop()
			<-node.done
		}
	})
}

// A planned stop of the holder writes pending changes and releases the lease
// immediately.
func TestPlannedHandover(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		expectResult(t, "the first", c.call(t, nodes[0], testKey, "body", stepNone), resultRan)
		nodes[0].stop()
		<-nodes[0].done
		c.kill(nodes[0])
		c.setPreferred("n2")
		before := time.Now()
		expectResult(t, "the repeat", c.call(t, nodes[2], testKey, "body", stepNone), resultRecorded)
		if took := time.Since(before); took > DefaultBeginTimeout {
			t.Errorf("the handover took %v", took)
		}
	})
}

// A repeat of a call that ran must never get not-run while its holder cannot be reached.
func TestRepeatWhileHolderIsUnreachable(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		expectResult(t, "the first", c.call(t, nodes[1], testKey, "body", stepNone), resultRan)
		c.store.setDown(true)
		c.kill(nodes[0])
		for _, node := range nodes[1:] {
			expectResult(t, "a repeat", c.call(t, node, testKey, "body", stepNone), resultUnknown)
		}
		c.store.setDown(false)
		c.setPreferred("n2")
		waitUntilSettled()
		expectResult(t, "a repeat afterwards", c.call(t, nodes[2], testKey, "body", stepNone), resultRecorded)
		expectRuns(t, c, testKey, 1)
	})
}
