package edge

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/routesource"
	"galenatrestle/internal/settings"
)

func defaultBoundFunc() time.Duration { return defaultPropagationBound }

func recordWithAge(age func() time.Duration) record { return record{age: age, bound: defaultBoundFunc} }

// TestReadAgeFollowsBound checks that a longer bound saves reads, and that no bound raises
// the read age, without jitter, above the proof age at which a node is ready.
func TestReadAgeFollowsBound(t *testing.T) {
	for role := range readAgeByRole {
		r := &reader{role: func() nodesync.Role { return role }, readerIndex: func() int { return 0 }}
		due := func(bound time.Duration) time.Duration {
			return r.dueAge(0, record{bound: func() time.Duration { return bound }})
		}
		if due(0) != due(defaultPropagationBound) || due(time.Second) != due(defaultPropagationBound) {
			t.Errorf("role %d: due at %s without a bound, %s with a short one", role, due(0), due(time.Second))
		}
		if due(4*time.Second) < due(defaultPropagationBound)*3/2 || due(time.Hour) > maxReadyProofAge {
			t.Errorf("role %d: due at %s, with 4 s at %s, with an hour at %s", role, due(defaultPropagationBound), due(4*time.Second), due(time.Hour))
		}
	}
}

// TestFreshCopyIsNotRead guards against reads of a copy that other nodes keep fresh.
func TestFreshCopyIsNotRead(t *testing.T) {
	for role, readAge := range readAgeByRole {
		bubbletest.Run(t, func(t *testing.T) {
			r := &reader{role: func() nodesync.Role { return role }, readerIndex: func() int { return 9 }}
			began := time.Now()
			lastUpdate := began
			age := func() time.Duration {
				// Another node reads every 200 ms for ten seconds.
				if now := time.Now(); now.Sub(began) < 10*time.Second && now.Sub(lastUpdate) >= 200*time.Millisecond {
					lastUpdate = now
				}
				return time.Since(lastUpdate)
			}
			if !r.waitUntilDue(t.Context(), rand.New(rand.NewPCG(1, 1)), recordWithAge(age)) {
				t.Fatal("the wait ended before the copy was due: the context ended")
			}
			if waited := time.Since(began); waited < 10*time.Second || waited > 10*time.Second+readAge+readJitter {
				t.Errorf("role %d read after %s", role, waited)
			}
		})
	}
}

func TestWaitUntilDueEndsWithContext(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		r := &reader{role: func() nodesync.Role { return nodesync.Peer }, readerIndex: func() int { return 0 }}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if r.waitUntilDue(ctx, rand.New(rand.NewPCG(1, 1)), recordWithAge(func() time.Duration { return 0 })) {
			t.Error("a fresh copy was reported as due for a read")
		}
	})
}

// TestFailedReadsBackOffByRole bounds the failed reads of each role in a store outage.
func TestFailedReadsBackOffByRole(t *testing.T) {
	const outage = 10 * time.Second
	cases := []struct {
		name     string
		role     nodesync.Role
		hasCopy  bool
		minReads int
		maxReads int
	}{
		{"a member", nodesync.Member, true, 2, 5},
		{"a secondary hub", nodesync.SecondaryHub, true, 4, 9},
		{"a primary hub", nodesync.PrimaryHub, true, 8, 16},
		{"a node of a small fleet", nodesync.Peer, true, 8, 16},
		{"a member without a copy", nodesync.Member, false, 8, 16},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				r := &reader{
					role:        func() nodesync.Role { return test.role },
					readerIndex: func() int { return 0 },
					fleetSize:   func() int { return 12 },
					log:         eventlog.New(io.Discard, "vm-0"),
				}
				r.metrics = newMetrics(prometheus.NewRegistry(), routesource.New(nil), replica.NewSet(), boottime.Now, r.log)
				reads := 0
				ctx, cancel := context.WithTimeout(t.Context(), outage)
				defer cancel()
				r.poll(ctx, record{
					name:    "replicas",
					age:     func() time.Duration { return time.Hour },
					hasCopy: func() bool { return test.hasCopy },
					bound:   defaultBoundFunc,
					read: func(context.Context) error {
						reads++
						return errors.New("the store does not answer")
					},
				}, rand.New(rand.NewPCG(1, 1)))
				if reads < test.minReads || reads > test.maxReads {
					t.Errorf("%d reads in %s, want %d to %d", reads, outage, test.minReads, test.maxReads)
				}
			})
		})
	}
}

// TestFirstStartUsesCopiesFromSeeds guards against every node of a new fleet reading the
// store.
func TestFirstStartUsesCopiesFromSeeds(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		r := &reader{role: func() nodesync.Role { return nodesync.Member }, readerIndex: func() int { return 0 }}
		began, lastUpdate := time.Now(), time.Time{}
		r.clock = func() boottime.Instant { return boottime.Instant(time.Since(began)) + 1 }
		r.firstReadAt = r.clock().Add(firstReadDelay)
		age := func() time.Duration {
			// Updates arrive from two to ten seconds after the start.
			if passed := time.Since(began); passed > 2*time.Second && passed < 10*time.Second {
				lastUpdate = time.Now()
			}
			return time.Since(lastUpdate)
		}
		if !r.waitUntilDue(t.Context(), rand.New(rand.NewPCG(1, 1)), recordWithAge(age)) {
			t.Fatal("the wait ended before the copy was due: the context ended")
		}
		if waited := time.Since(began); waited < 10*time.Second {
			t.Errorf("read after %s, while other nodes kept the copy fresh", waited)
		}
	})
}

func TestFirstStartWithoutSeedsReadsAfterDelay(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		began := time.Now()
		r := &reader{role: func() nodesync.Role { return nodesync.Peer }, readerIndex: func() int { return 0 }}
		r.clock = func() boottime.Instant { return boottime.Instant(time.Since(began)) + 1 }
		r.firstReadAt = r.clock().Add(firstReadDelay)
		r.waitUntilDue(t.Context(), rand.New(rand.NewPCG(1, 1)), recordWithAge(func() time.Duration { return time.Hour }))
		if waited := time.Since(began); waited != firstReadDelay {
			t.Errorf("read after %s, want %s", waited, firstReadDelay)
		}
	})
}

// TestRestartedNodeWaitsForCopies guards against nodes that restart together and all read the
// store, which takes dozens of calls each in a large fleet.
func TestRestartedNodeWaitsForCopies(t *testing.T) {
	now := boottime.Instant(time.Hour)
	firstRead := func(change func(*settings.Settings), isSeed bool) time.Duration {
		s := &settings.Settings{Peers: settings.Peers{Seeds: []string{"192.0.2.1:1"}}, PassThrough: &settings.PassThrough{}}
		change(s)
		n := &Node{options: Options{Settings: s, Clock: func() boottime.Instant { return now }}}
		at := n.firstReadAt(isSeed, rand.New(rand.NewPCG(1, 1)))
		if at == 0 {
			return 0
		}
		return at.Sub(now)
	}
	restarted := func(*settings.Settings) {}
	if wait := firstRead(restarted, false); wait < restartReadDelay || wait > restartReadDelay+restartReadJitter {
		t.Errorf("a restarted node waits %s", wait)
	}
	if wait := firstRead(restarted, true); wait != 0 {
		t.Errorf("a seed waits %s", wait)
	}
	if wait := firstRead(func(s *settings.Settings) { s.Peers.Seeds = nil }, false); wait != 0 {
		t.Errorf("a node without seeds waits %s", wait)
	}
	if wait := firstRead(func(s *settings.Settings) { s.PassThrough.FirstStart = true }, false); wait != firstReadDelay {
		t.Errorf("at a fleet's first start a node waits %s", wait)
	}
}

// TestMembersWithoutCopySpreadTheirReads guards against all members of a large fleet reading the store
// at once, so that no read succeeds.
func TestMembersWithoutCopySpreadTheirReads(t *testing.T) {
	latestRead := func(role nodesync.Role, nodes int) time.Duration {
		r := &reader{role: func() nodesync.Role { return role }, fleetSize: func() int { return nodes }, readerIndex: func() int { return 0 }}
		return r.dueAge(1, record{bound: defaultBoundFunc, large: true})
	}
	if got := latestRead(nodesync.Member, 1100); got < 100*time.Second {
		t.Errorf("a thousand members read within %s", got)
	}
	if got := latestRead(nodesync.SecondaryHub, 1100); got < hubReadTime || got > 2*hubReadTime {
		t.Errorf("secondary hubs read within %s", got)
	}
	for _, role := range []nodesync.Role{nodesync.Member, nodesync.SecondaryHub} {
		if got := latestRead(role, 82); got != readAgeByRole[role]+readJitter {
			t.Errorf("nodes of role %s in a small fleet read within %s", role, got)
		}
	}
	if small, large := latestRead(nodesync.PrimaryHub, 82), latestRead(nodesync.PrimaryHub, 1100); small != large {
		t.Errorf("primary hubs read within %s in a large fleet, %s in a small one", large, small)
	}
}

// TestNewHubReadsSoon guards against a member of a large fleet that waits for its own late turn to read
// the registrations after it has become a primary hub.
func TestNewHubReadsSoon(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		began := time.Now()
		becameHub := began.Add(5 * time.Second)
		role := func() nodesync.Role {
			if time.Now().Before(becameHub) {
				return nodesync.Member
			}
			return nodesync.PrimaryHub
		}
		r := &reader{role: role, fleetSize: func() int { return 2000 }, readerIndex: func() int { return 0 }}
		rec := record{age: func() time.Duration { return time.Since(began) }, bound: defaultBoundFunc, large: true}
		// This seed draws a turn after a minute.
		if !r.waitUntilDue(t.Context(), rand.New(rand.NewPCG(1, 1)), rec) {
			t.Fatal("the wait ended with its context")
		}
		if waited := time.Since(becameHub); waited < 0 || waited > 2*time.Second {
			t.Errorf("read %s after the node became a hub", waited)
		}
	})
}

// TestCutOffNodesOfLargeFleetCallStoreAsMembers guards against hundreds of nodes that are cut off
// together and all read the registrations each second.
func TestCutOffNodesOfLargeFleetCallStoreAsMembers(t *testing.T) {
	for _, test := range []struct {
		role  nodesync.Role
		nodes int
		want  nodesync.Role
	}{
		{nodesync.Peer, 985, nodesync.Member}, {nodesync.Peer, 8, nodesync.Peer},
		{nodesync.PrimaryHub, 985, nodesync.PrimaryHub}, {nodesync.Member, 20, nodesync.Member},
	} {
		if got := roleAtStore(test.role, test.nodes); got != test.want {
			t.Errorf("role %s in a fleet of %d: %s, want %s", test.role, test.nodes, got, test.want)
		}
	}
}

// TestWaitingMemberTakesCopyOfItsHub checks that a member of a large fleet does not read the store if
// its hub has the record soon after the start.
func TestWaitingMemberTakesCopyOfItsHub(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		began := time.Now()
		hasCopy := func() bool { return time.Since(began) > 2*time.Second }
		r := &reader{role: func() nodesync.Role { return nodesync.Member }, fleetSize: func() int { return 985 }, sinceOthersFirstRead: noFirstRead}
		if !r.waitForCopy(t.Context(), rand.New(rand.NewPCG(1, 1)), record{hasCopy: hasCopy}) {
			t.Fatal("the wait ended with its context")
		}
		if waited := time.Since(began); waited > 2*time.Second+2*copyPollInterval {
			t.Errorf("waited %s", waited)
		}
	})
}

func noFirstRead() (time.Duration, bool) { return 0, false }

// TestRestartedNodesWaitForTheFirstRead guards against nodes of a restarted fleet that know too few
// others to take it for a large one and all read the registrations, so that each read takes seconds.
func TestRestartedNodesWaitForTheFirstRead(t *testing.T) {
	cases := []struct {
		name string
		role nodesync.Role
		// readBegan is when another node's first read began, copyAt when its copy arrives.
		readBegan, copyAt    time.Duration
		minWaited, maxWaited time.Duration
	}{
		{"no other node reads", nodesync.Member, time.Hour, time.Hour, 0, 0},
		{"another node's copy arrives", nodesync.Member, 0, 1500 * time.Millisecond, 1500 * time.Millisecond, 1500*time.Millisecond + copyPollInterval},
		{"another node's read fails", nodesync.Member, 0, time.Hour, firstReadTime, 2*firstReadTime + copyPollInterval},
		{"other nodes keep beginning to read", nodesync.Member, -1, time.Hour, maxCopyWait, maxCopyWait + copyPollInterval},
		{"a primary hub", nodesync.PrimaryHub, 0, time.Hour, hubSettleTime, hubSettleTime + copyPollInterval},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				began := time.Now()
				sinceOthersFirstRead := func() (time.Duration, bool) {
					if test.readBegan < 0 {
						return 0, true
					}
					return time.Since(began) - test.readBegan, time.Since(began) >= test.readBegan
				}
				r := &reader{
					role:                 func() nodesync.Role { return test.role },
					fleetSize:            func() int { return 40 },
					sinceOthersFirstRead: sinceOthersFirstRead,
				}
				hasCopy := func() bool { return time.Since(began) >= test.copyAt }
				r.waitForCopy(t.Context(), rand.New(rand.NewPCG(1, 1)), record{hasCopy: hasCopy})
				if waited := time.Since(began); waited < test.minWaited || waited > test.maxWaited {
					t.Errorf("waited %s, want %s to %s", waited, test.minWaited, test.maxWaited)
				}
			})
		})
	}
}

// At a fleet's first start the copies of all nodes were due at the end of firstReadDelay, so that all
// read the configuration at once.
func TestHubReadsBeforeOtherNodesAtFirstStart(t *testing.T) {
	firstRead := func(role nodesync.Role) (waited time.Duration) {
		bubbletest.Run(t, func(t *testing.T) {
			began := time.Now()
			r := &reader{role: func() nodesync.Role { return role }, readerIndex: func() int { return 0 }}
			r.clock = func() boottime.Instant { return boottime.Instant(time.Since(began)) + 1 }
			r.firstReadAt = r.clock().Add(firstReadDelay)
			// A seed has read at the start.
			r.waitUntilDue(t.Context(), rand.New(rand.NewPCG(1, 1)), recordWithAge(func() time.Duration { return time.Since(began) }))
			waited = time.Since(began)
		})
		return waited
	}
	hub, member := firstRead(nodesync.PrimaryHub), firstRead(nodesync.Member)
	if hub > firstReadDelay-time.Second || member < firstReadDelay {
		t.Errorf("a primary hub reads after %s, a member after %s", hub, member)
	}
}
