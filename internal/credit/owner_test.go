package credit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

const replica = "tab-llm-1"

// establishedOwner returns an owner that has tracked the replica for an hour.
func establishedOwner() (*Owner, time.Time) {
	o := NewOwner(Settings{})
	o.leasesOf(start, replica)
	return o, start.Add(time.Hour)
}

func ask(used, want int) Ask { return Ask{Replica: replica, Limit: 8, Used: used, Want: want} }

func waiting(a Ask, tier int, slack time.Duration) Ask {
	a.Waiting, a.Tier, a.Slack = true, tier, slack
	return a
}

func prepaid(n int) Ask { return Ask{Replica: replica, Limit: 8, Extra: n} }

func grant(o *Owner, now time.Time, node string, a Ask) int {
	return o.Handle(now, node, 8, []Ask{a})[0].Slots
}

func wantSlots(t *testing.T, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %d slots, want %d", what, got, want)
	}
}

func TestSlotsGoToTheMostUrgent(t *testing.T) {
	tests := []struct {
		title         string
		first, second Ask
		// want is the number of slots of first after second has asked.
		want int
	}{
		{"higher tier first", waiting(ask(0, 8), 2, 0), waiting(ask(0, 8), 0, time.Minute), 1},
		{"slack difference below the margin moves nothing", waiting(ask(0, 8), 1, 2*time.Second), waiting(ask(0, 8), 1, time.Second), 8},
		{"lower tier waits", waiting(ask(0, 8), 0, 0), waiting(ask(0, 8), 2, 0), 8},
		{"least slack first within a tier", waiting(ask(0, 8), 1, time.Minute), waiting(ask(0, 8), 1, time.Second), 1},
		{"waiting node takes reserved slots", prepaid(8), waiting(ask(0, 8), 7, time.Hour), 0},
		{"only needed slots are taken", prepaid(8), waiting(ask(0, 2), 0, 0), 6},
	}
	for _, test := range tests {
		t.Run(test.title, func(t *testing.T) {
			o, now := establishedOwner()
			grant(o, now, "first", test.first)
			grant(o, now, "second", test.second)
			wantSlots(t, "first", grant(o, now, "first", test.first), test.want)
			second := grant(o, now, "second", test.second)
			wantSlots(t, "second", second, min(test.second.Want, 8-test.want))
		})
	}
}

func TestSlotsInUseAreNotGivenTwice(t *testing.T) {
	o, now := establishedOwner()
	grant(o, now, "low", waiting(ask(0, 8), 3, 0))
	wantSlots(t, "high while all runs", grant(o, now, "high", waiting(ask(0, 4), 0, 0)), 0)
	grant(o, now, "low", waiting(ask(8, 8), 3, 0))
	wantSlots(t, "high before anything ended", grant(o, now, "high", waiting(ask(0, 4), 0, 0)), 0)
	grant(o, now, "low", waiting(ask(5, 8), 3, 0))
	wantSlots(t, "high after three ended", grant(o, now, "high", waiting(ask(0, 4), 0, 0)), 3)
}

func TestCreditsExpire(t *testing.T) {
	o, now := establishedOwner()
	grant(o, now, "gone", ask(8, 8))
	wantSlots(t, "before the end", grant(o, now.Add(DefaultLeaseTime-1), "next", ask(0, 8)), 0)
	wantSlots(t, "after the end", grant(o, now.Add(DefaultLeaseTime), "next", ask(0, 8)), 8)
	o.Sweep(now.Add(time.Hour))
	if len(o.replicas) != 0 {
		t.Error("Sweep kept a replica without leases")
	}
}

func TestReleasedCreditsAreFree(t *testing.T) {
	o, now := establishedOwner()
	grant(o, now, "leaving", ask(8, 8))
	o.Release("leaving")
	wantSlots(t, "next", grant(o, now, "next", ask(0, 8)), 8)
}

// TestNewOwnerGrantsOnlyFairPart checks that a new owner, which does not know the previous
// owner's leases, grants only the fair part or the slots in use.
func TestNewOwnerGrantsOnlyFairPart(t *testing.T) {
	o := NewOwner(Settings{})
	wantSlots(t, "idle node", grant(o, start, "a", ask(0, 8)), 1)
	wantSlots(t, "busy node", grant(o, start, "b", ask(4, 8)), 4)
	wantSlots(t, "later", grant(o, start.Add(DefaultRenew), "a", ask(0, 8)), 4)
}

// TestLimitHolds checks that the slots held never exceed the limit with a single
// owner, for any sequence of asks.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o, now := establishedOwner()
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		granted := make(map[string]int)
		used := make(map[string]int)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			node := fmt.Sprintf("n%d", rapid.IntRange(0, 5).Draw(t, "node"))
			// Requests may end at any time but start only within the grant.
			top := max(granted[node], used[node])
			used[node] = rapid.IntRange(0, top).Draw(t, "used")
			if used[node] > granted[node] {
				granted[node] = min(granted[node], used[node])
			}
			a := Ask{Replica: replica, Limit: limit, Used: used[node]}
			a.Want = used[node] + rapid.IntRange(0, 10).Draw(t, "more")
			a.Extra = rapid.IntRange(0, 5).Draw(t, "extra")
			a.Waiting = rapid.Bool().Draw(t, "waiting")
			a.Tier = rapid.IntRange(0, 7).Draw(t, "tier")
			granted[node] = grant(o, now, node, a)
			now = now.Add(time.Millisecond)
			sum := 0
			for name, slots := range granted {
				sum += max(slots, used[name])
			}
			if sum > limit {
				t.Fatalf("%d slots held of %d: granted %v, used %v", sum, limit, granted, used)
			}
		}
	})
}
