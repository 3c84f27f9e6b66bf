package forward_test

import (
	"fmt"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
)

// Guards against streams that go on at a replica of another software version within one answer.
func TestStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	tests := map[string]struct {
		versions []string
		ending   forward.Ending
		body     string
	}{
		"only another version is left":  {[]string{"v1", "v2"}, forward.EndedBroken, event1},
		"no version is known":           {[]string{"", ""}, forward.EndedComplete, event1 + event2},
		"the version serves elsewhere":  {[]string{"v1", "v2", "v2", "v1"}, forward.EndedComplete, event1 + event2},
		"a version that is not told":    {[]string{"v1", ""}, forward.EndedBroken, event1},
		"all replicas have the version": {[]string{"v1", "v1"}, forward.EndedComplete, event1 + event2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				began := ""
				list := make([]*forwardtest.Replica, len(test.versions))
				for i, version := range test.versions {
					list[i] = forwardtest.NewReplica(fmt.Sprint("i-", i), upstream, func(c *forwardtest.Conn) bool {
						if c.Request.Header.Get(forwardtest.HeaderLastEvent) == "" {
							began = version
							events(false, event1)(c)
							list[i].Crash()
							return false
						}
						if version != began {
							t.Errorf("a stream of version %q goes on at %q", began, version)
						}
						return events(true, event2)(c)
					})
					list[i].Version = version
				}
				w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.ResumableStream, 3))
				if ending != test.ending || w.Body.String() != test.body {
					t.Errorf("ending %s, body %q; want %s, %q", ending, w.Body, test.ending, test.body)
				}
			})
		})
	}
}

// A stream whose replicas have all crashed was given up at once, although new ones of its version were
// about to be registered.
func TestStreamAwaitsAReplicaOfItsVersion(t *testing.T) {
	for name, test := range map[string]struct {
		after  time.Duration
		ending forward.Ending
	}{
		"soon":     {600 * time.Millisecond, forward.EndedComplete},
		"too late": {2 * time.Second, forward.EndedBroken},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				var first, other, next *forwardtest.Replica
				first = forwardtest.NewReplica("i-0", upstream, func(c *forwardtest.Conn) bool {
					events(false, event1)(c)
					first.Crash()
					return false
				})
				other = forwardtest.NewReplica("i-1", upstream, answerOK)
				next = forwardtest.NewReplica("i-2", upstream, events(true, event2))
				first.Version, other.Version, next.Version = "v1", "v2", "v1"
				fleet := forwardtest.NewFleet(t, first)
				t.Cleanup(other.Crash)
				t.Cleanup(next.Crash)
				time.AfterFunc(test.after, func() { fleet.SetReplicas(other, next) })
				time.AfterFunc(test.after/2, func() { fleet.SetReplicas(first, other) })
				c := call(route.ResumableStream, 3)
				c.Deadline = c.Arrived.Add(15 * time.Second)
				w, ending := serve(t, fleet, c)
				want := event1
				if test.ending == forward.EndedComplete {
					want += event2
				}
				if ending != test.ending || w.Body.String() != want || len(other.Requests()) != 0 {
					t.Errorf("ending %s, body %q, %d requests to the other version; want %s, %q, none", ending, w.Body, len(other.Requests()), test.ending, want)
				}
				time.Sleep(3 * time.Second)
			})
		})
	}
}

// A stream that callers resumed was refused for overload of the few replicas of its version, while new
// ones began at others.
func TestResumedStreamIsNotRefusedForOverload(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		slow := forwardtest.NewReplica("i-0", upstream, func(c *forwardtest.Conn) bool {
			time.Sleep(500 * time.Millisecond)
			return events(true, event2)(c)
		})
		slow.Version, slow.Slots = "v1", 1
		fleet := forwardtest.NewFleet(t, slow)
		prompt := func(c *forward.Call) *forward.Call {
			c.Prompt, c.Rank, c.Deadline = forward.Prompt{Tokens: 400_000, MaxAnswerTokens: 10}, 1, c.Arrived.Add(5*time.Second)
			return c
		}
		for range 20 {
			go serve(t, fleet, prompt(call(route.ResumableStream, 1)))
		}
		time.Sleep(100 * time.Millisecond)
		if _, ending := serve(t, fleet, prompt(call(route.ResumableStream, 1))); ending != forward.EndedRefused {
			t.Errorf("a new stream ended %s, want %s", ending, forward.EndedRefused)
		}
		resumed := prompt(call(route.ResumableStream, 1))
		version := "v1"
		resumed.Resumes, resumed.LastEventID, resumed.StreamVersion = "c0", "1", &version
		if w, ending := serve(t, fleet, resumed); ending != forward.EndedComplete || w.Body.String() != event2 {
			t.Errorf("a resumed stream ended %s with %q, want %s", ending, w.Body, forward.EndedComplete)
		}
		time.Sleep(10 * time.Second)
	})
}
