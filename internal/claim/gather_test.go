package claim

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestGather counts the writes of one shard by what waits: a lone claim and its
// end are written at once, a busy shard's changes once in GatherTime, and many
// bytes without waiting for it, at the pace of the platform's budget.
func TestGather(t *testing.T) {
	cases := []struct {
		name string
		// calls come one after the other, each a pause after the last one.
		calls int
		pause time.Duration
		body  int
		most  time.Duration
		// writes are all, between these two.
		least, atMost int
	}{
		{"lone calls", 10, time.Second, 200, 6 * time.Millisecond, 20, 20},
		{"a busy shard", 1000, 2 * time.Millisecond, 1, 2 * (DefaultFlushInterval + 10*time.Millisecond), 48, 56},
		// Gathered by time alone these would be 50 writes; how many fall together
		// beyond that is up to the scheduler.
		{"many bytes", 500, 4 * time.Millisecond, 8000, 2 * (DefaultFlushInterval + 10*time.Millisecond), 200, 420},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			within(t, func(t *testing.T, c *cluster, nodes []*testNode) {
				before := c.store.written()
				took := make([]time.Duration, test.calls)
				var calls sync.WaitGroup
				for i := range test.calls {
					time.Sleep(test.pause)
					calls.Go(func() {
						begun := time.Now()
						grant, err := nodes[0].Begin(t.Context(), keyNumber(i), Fingerprint{})
						if err != nil {
							t.Error(err)
							return
						}
						answer := Answer{Status: 201, Body: []byte(fmt.Sprintf("%0*d", test.body, i))}
						err = nodes[0].Finish(t.Context(), grant.Token, Outcome{Kind: OutcomeRecorded, Answer: answer})
						if err != nil {
							t.Error(err)
						}
						took[i] = time.Since(begun)
					})
				}
				calls.Wait()
				for i, d := range took {
					if d > test.most {
						t.Errorf("call %d took %v, more than %v", i, d, test.most)
						break
					}
				}
				if writes := c.store.written() - before; writes < test.least || writes > test.atMost {
					t.Errorf("%d writes, want %d to %d", writes, test.least, test.atMost)
				}
			})
		})
	}
}
