package claim

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestWriteBatching counts the platform writes of one shard: a single claim and its
// outcome are written immediately, a busy shard writes once per FlushInterval, and large
// changes are written without waiting for FlushInterval, within the write rate limit.
func TestWriteBatching(t *testing.T) {
	cases := []struct {
		name string
		// calls are started one after another, with pause before each.
		calls       int
		pause       time.Duration
		body        int
		maxDuration time.Duration
		// minWrites and maxWrites bound the number of writes.
		minWrites, maxWrites int
	}{
		{"single calls", 10, time.Second, 200, 6 * time.Millisecond, 20, 20},
		{"a busy shard", 1000, 2 * time.Millisecond, 1, 2 * (DefaultFlushInterval + 10*time.Millisecond), 48, 56},
		// FlushInterval alone would give 50 writes. The upper bound is loose because
		// batching depends on goroutine scheduling.
		{"large answers", 500, 4 * time.Millisecond, 8000, 2 * (DefaultFlushInterval + 10*time.Millisecond), 200, 420},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
				before := c.store.writeCount()
				took := make([]time.Duration, test.calls)
				var calls sync.WaitGroup
				for i := range test.calls {
					time.Sleep(test.pause)
					calls.Go(func() {
						begun := time.Now()
						result, err := nodes[0].Begin(t.Context(), keyNumber(i), Fingerprint{})
						if err != nil {
							t.Error(err)
							return
						}
						answer := Answer{Status: 201, Body: []byte(fmt.Sprintf("%0*d", test.body, i))}
						err = nodes[0].Finish(t.Context(), result.Token, Outcome{Kind: OutcomeRecorded, Answer: answer})
						if err != nil {
							t.Error(err)
						}
						took[i] = time.Since(begun)
					})
				}
				calls.Wait()
				for i, d := range took {
					if d > test.maxDuration {
						t.Errorf("call %d took %v, more than %v", i, d, test.maxDuration)
						break
					}
				}
				if writes := c.store.writeCount() - before; writes < test.minWrites || writes > test.maxWrites {
					t.Errorf("%d writes, want %d to %d", writes, test.minWrites, test.maxWrites)
				}
			})
		})
	}
}
