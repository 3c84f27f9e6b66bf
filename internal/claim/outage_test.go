package claim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/refusal"
)

// TestPlatformDown takes the platform away at each step of a call.
func TestPlatformDown(t *testing.T) {
	cases := []struct {
		name string
		// down is when the outage begins; lapsed lets the leases end in it.
		down    step
		lapsed  bool
		first   told
		during  []told
		runs    int
		forever told
	}{
		{"before the claim", stepBeforeClaim, false, toldUnknown, []told{toldNotRun}, 0, toldRan},
		// A holder that lost its lease can't know whether its last write took
		// effect, nor take the release: in progress is all it can say of it.
		{"before the claim, leases lapsed", stepBeforeClaim, true, toldUnknown, []told{toldInProgress, toldUnknown}, 0, toldRan},
		{"before the record", stepAfterSend, false, toldRan, []told{toldInProgress}, 1, toldRecorded},
		{"before the record, leases lapsed", stepAfterSend, true, toldRan, []told{toldInProgress}, 1, toldRecorded},
		{"after the record", stepAfterRecord, false, toldRan, []told{toldRecorded}, 1, toldRecorded},
		{"after the record, leases lapsed", stepAfterRecord, true, toldRan, []told{toldRecorded}, 1, toldRecorded},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
				begin := func(at step) {
					if at == test.down {
						c.store.setDown(true)
						if test.lapsed {
							c.lapse(true)
						}
					}
				}
				c.ends = func() OutcomeKind {
					begin(stepAfterSend)
					return OutcomeRecorded
				}
				begin(stepBeforeClaim)
				expectTold(t, "the first", c.call(t, nodes[1], oneKey, "body", stepNone), test.first)
				begin(stepAfterRecord)
				// The release of a claim that was given up reaches the holder.
				time.Sleep(100 * time.Millisecond)
				for _, node := range nodes {
					expectOneOf(t, c.call(t, node, oneKey, "body", stepNone), test.during)
				}
				expectRuns(t, c, oneKey, test.runs)
				c.store.setDown(false)
				settle()
				expectTold(t, "a repeat afterwards", c.call(t, nodes[2], oneKey, "body", stepNone), test.forever)
				expectRuns(t, c, oneKey, 1)
			})
		})
	}
}

func expectOneOf(t *testing.T, got told, allowed []told) {
	t.Helper()
	for _, want := range allowed {
		if got == want {
			return
		}
	}
	t.Errorf("a repeat in the outage was told %q, want one of %q", got, allowed)
}

// TestStuckWriteRefusesAtOnce refuses new claims without waiting while the
// write under way gets no answer.
func TestStuckWriteRefusesAtOnce(t *testing.T) {
	within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		c.store.setDown(true)
		expectTold(t, "the first", c.call(t, nodes[0], oneKey, "body", stepNone), toldUnknown)
		before := time.Now()
		_, err := nodes[0].Begin(t.Context(), keyNumber(1), Fingerprint{})
		if took := time.Since(before); took != 0 {
			t.Errorf("the second waited %v", took)
		}
		if refused := refusal.From(err); refused.Reason != refusal.ClaimStoreDown || refused.Outcome != refusal.NotRun {
			t.Errorf("the second got %v", refused)
		}
		c.store.setDown(false)
		settle()
	})
}

// TestLedgerFull fills the shard through the nodes, and waits until what it
// holds has expired.
func TestLedgerFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		small := func(options *Options) {
			options.Policy.Shards = 1
			options.Policy.Segments = 4
			options.Policy.SegmentBytes = 2 << 10
			options.Policy.AnswerRetention = time.Minute
			options.Policy.KeyRetention = time.Minute
		}
		nodes := []*testNode{c.start(t, "n1", small), c.start(t, "n2", small)}
		settle()
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
		taken := false
		for range 30 {
			number++
			got := c.call(t, nodes[1], keyNumber(number), fmt.Sprint(number), stepNone)
			taken = taken || got == toldRan
			time.Sleep(2 * time.Second)
		}
		if !taken {
			t.Error("the ledger took nothing after what it held had expired")
		}
		for _, node := range nodes {
			node.stop()
			<-node.done
		}
	})
}

// TestHandOn stops the holder as planned: what waits is written, and the lease
// is free at once.
func TestHandOn(t *testing.T) {
	within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		expectTold(t, "the first", c.call(t, nodes[0], oneKey, "body", stepNone), toldRan)
		nodes[0].stop()
		<-nodes[0].done
		c.kill(nodes[0])
		c.prefer("n2")
		before := time.Now()
		expectTold(t, "the repeat", c.call(t, nodes[2], oneKey, "body", stepNone), toldRecorded)
		if took := time.Since(before); took > DefaultBeginTimeout {
			t.Errorf("the hand-on took %v", took)
		}
	})
}

// TestRepeatWithoutAHolder repeats a call that has run where nobody who knows it
// can be reached: it is never told not-run.
func TestRepeatWithoutAHolder(t *testing.T) {
	within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		expectTold(t, "the first", c.call(t, nodes[1], oneKey, "body", stepNone), toldRan)
		c.store.setDown(true)
		c.kill(nodes[0])
		for _, node := range nodes[1:] {
			expectTold(t, "a repeat", c.call(t, node, oneKey, "body", stepNone), toldUnknown)
		}
		c.store.setDown(false)
		c.prefer("n2")
		settle()
		expectTold(t, "a repeat afterwards", c.call(t, nodes[2], oneKey, "body", stepNone), toldRecorded)
		expectRuns(t, c, oneKey, 1)
	})
}
