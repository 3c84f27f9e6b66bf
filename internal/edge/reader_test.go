package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/routesource"
)

// usually is the usual bound.
func usually() time.Duration { return usualBound }

// aged is a record whose copy has the age.
func aged(age func() time.Duration) record { return record{age: age, bound: usually} }

// TestCopiesAreReadAsOftenAsTheirBoundAsks: a bound of four seconds allows half of the
// reads, and no bound lets a node's proof grow so old that it is not ready.
func TestCopiesAreReadAsOftenAsTheirBoundAsks(t *testing.T) {
	for role := range readAt {
		r := &reader{role: func() nodesync.Role { return role }, turn: func() int { return 0 }}
		due := func(bound time.Duration) time.Duration { return r.dueAge(0, bound) }
		if due(0) != due(usualBound) || due(time.Second) != due(usualBound) {
			t.Errorf("role %d: due at %s without a bound, %s with a short one", role, due(0), due(time.Second))
		}
		if due(4*time.Second) < due(usualBound)*3/2 || due(time.Hour) > readyAge {
			t.Errorf("role %d: due at %s, with 4 s at %s, with an hour at %s", role, due(usualBound), due(4*time.Second), due(time.Hour))
		}
	}
}

// TestANodeReadsOnlyWhatNobodyHasReadLately lets other nodes' reads make the copy
// young again for a while.
func TestANodeReadsOnlyWhatNobodyHasReadLately(t *testing.T) {
	for role, least := range readAt {
		synctest.Test(t, func(t *testing.T) {
			r := &reader{role: func() nodesync.Role { return role }, turn: func() int { return 9 }}
			began := time.Now()
			told := began
			age := func() time.Duration {
				// Another node tells of a read every 200 ms for ten seconds.
				if now := time.Now(); now.Sub(began) < 10*time.Second && now.Sub(told) >= 200*time.Millisecond {
					told = now
				}
				return time.Since(told)
			}
			if !r.awaitAge(t.Context(), rand.New(rand.NewPCG(1, 1)), aged(age)) {
				t.Fatal("the wait ended without a reason")
			}
			if waited := time.Since(began); waited < 10*time.Second || waited > 10*time.Second+least+readJitter {
				t.Errorf("role %d read after %s", role, waited)
			}
		})
	}
}

func TestAWaitForAReadEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{role: func() nodesync.Role { return nodesync.Peer }, turn: func() int { return 0 }}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if r.awaitAge(ctx, rand.New(rand.NewPCG(1, 1)), aged(func() time.Duration { return 0 })) {
			t.Error("a copy that stays young is read")
		}
	})
}

// TestFewReadsFailInAnOutage counts the reads of a node whose store does not answer
// for a while: the members of a large fleet leave it to their hub to find it again.
func TestFewReadsFailInAnOutage(t *testing.T) {
	const outage = 10 * time.Second
	cases := []struct {
		name  string
		role  nodesync.Role
		known bool
		least int
		most  int
	}{
		{"a member", nodesync.Member, true, 2, 5},
		{"a further hub", nodesync.SecondaryHub, true, 4, 9},
		{"a hub", nodesync.PrimaryHub, true, 8, 16},
		{"a node of a small fleet", nodesync.Peer, true, 8, 16},
		{"a member that knows nothing yet", nodesync.Member, false, 8, 16},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &reader{
					role: func() nodesync.Role { return test.role },
					turn: func() int { return 0 },
					log:  eventlog.New(io.Discard, "vm-0"),
				}
				r.metrics = newMetrics(prometheus.NewRegistry(), routesource.New(nil), replica.NewSet(), boottime.Now, r.log)
				reads := 0
				ctx, cancel := context.WithTimeout(t.Context(), outage)
				defer cancel()
				r.follow(ctx, record{
					name:  "replicas",
					age:   func() time.Duration { return time.Hour },
					known: func() bool { return test.known },
					bound: usually,
					read: func(context.Context) error {
						reads++
						return errors.New("the store does not answer")
					},
				}, rand.New(rand.NewPCG(1, 1)))
				if reads < test.least || reads > test.most {
					t.Errorf("%d reads in %s, want %d to %d", reads, outage, test.least, test.most)
				}
			})
		})
	}
}

// TestAFirstStartIsReadByTheSeeds: at a fleet's first start nobody is served, and what
// the seeds have read comes from them.
func TestAFirstStartIsReadByTheSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{role: func() nodesync.Role { return nodesync.Member }, turn: func() int { return 0 }}
		began, told := time.Now(), time.Time{}
		r.clock = func() boottime.Instant { return boottime.Instant(time.Since(began)) + 1 }
		r.firstReadAt = r.clock().Add(firstReadWait)
		age := func() time.Duration {
			// The news come after two seconds, and stop after ten.
			if passed := time.Since(began); passed > 2*time.Second && passed < 10*time.Second {
				told = time.Now()
			}
			return time.Since(told)
		}
		if !r.awaitAge(t.Context(), rand.New(rand.NewPCG(1, 1)), aged(age)) {
			t.Fatal("the wait ended without a reason")
		}
		if waited := time.Since(began); waited < 10*time.Second {
			t.Errorf("read after %s, though others had read it", waited)
		}
	})
}

// TestAFirstStartWithoutSeedsIsRead: none of them answers.
func TestAFirstStartWithoutSeedsIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		r := &reader{role: func() nodesync.Role { return nodesync.Peer }, turn: func() int { return 0 }}
		r.clock = func() boottime.Instant { return boottime.Instant(time.Since(began)) + 1 }
		r.firstReadAt = r.clock().Add(firstReadWait)
		r.awaitAge(t.Context(), rand.New(rand.NewPCG(1, 1)), aged(func() time.Duration { return time.Hour }))
		if waited := time.Since(began); waited != firstReadWait {
			t.Errorf("read after %s, want %s", waited, firstReadWait)
		}
	})
}
