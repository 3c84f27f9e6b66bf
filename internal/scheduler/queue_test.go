package scheduler

import (
	"strconv"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

func newTestQueue() *Queue[string] {
	q := NewQueue[string]()
	q.SetClass(Class{Name: "high", Tier: 0})
	q.SetClass(Class{Name: "low", Tier: 2, MinShare: 0.5, MinShareAfter: 10 * time.Second})
	return q
}

func newItem(value, workspace string, latest time.Duration) *Item[string] {
	return &Item[string]{
		Workspace: workspace, Arrived: start, LatestStart: start.Add(latest),
		ExpiresAt: start.Add(latest + time.Minute), Cost: 10, Value: value,
	}
}

func popAll(q *Queue[string], now time.Time) string {
	all := ""
	for i := q.Pop(now, 4); i != nil; i = q.Pop(now, 4) {
		all += i.Value
	}
	return all
}

func TestOrderIsTierThenOnTimeThenSlack(t *testing.T) {
	q := newTestQueue()
	q.Push(start, "low", newItem("a", "w", time.Second))
	q.Push(start, "high", newItem("b", "w", 30*time.Second))
	q.Push(start, "high", newItem("c", "w", 2*time.Second))
	q.Push(start, "high", newItem("d", "w", 20*time.Second))
	if got := popAll(q, start.Add(3*time.Second)); got != "dbca" {
		t.Errorf("order = %s, want dbca", got)
	}
}

func TestFairShareFollowsWeights(t *testing.T) {
	q := newTestQueue()
	q.SetWeights(map[string]float64{"x": 3})
	for range 40 {
		q.Push(start, "high", newItem("x", "x", time.Minute))
		q.Push(start, "high", newItem("y", "y", time.Minute))
	}
	count := 0
	for range 40 {
		if q.Pop(start, 4).Value == "x" {
			count++
		}
	}
	if count != 30 {
		t.Errorf("workspace x got %d of 40, want 30", count)
	}
}

func TestMinShareIsDelayedAndBounded(t *testing.T) {
	q := newTestQueue()
	for i := range 4 {
		q.Push(start, "high", newItem("h", "w", time.Minute+time.Duration(i)))
		q.Push(start, "low", newItem("l", "w", 2*time.Minute))
	}
	if got := q.Pop(start.Add(9*time.Second), 4).Value; got != "h" {
		t.Errorf("popped %s before the share is due, want h", got)
	}
	if got := popAll(q, start.Add(10*time.Second)); got != "llhhhll" {
		t.Errorf("order = %s, want llhhhll", got)
	}
}

func TestRestoreKeepsOrder(t *testing.T) {
	q := newTestQueue()
	q.Push(start, "high", newItem("a", "w", time.Second))
	q.Push(start, "high", newItem("b", "w", 2*time.Second))
	q.Restore(start, q.Pop(start, 4))
	if got := popAll(q, start); got != "ab" {
		t.Errorf("order = %s, want ab", got)
	}
}

func TestShedRemovesFromLowestTierOnly(t *testing.T) {
	q := newTestQueue()
	q.Push(start, "high", newItem("a", "w", time.Second))
	q.Push(start, "low", newItem("b", "w", time.Second))
	if i := q.Shed(0); i == nil || i.Value != "b" {
		t.Errorf("Shed(0) = %v, want b", i)
	}
	if i := q.Shed(0); i != nil {
		t.Errorf("Shed(0) = %v, want none", i)
	}
}

// Stale heap entries must not accumulate, in whatever order items leave.
func TestMemoryIsBounded(t *testing.T) {
	q := newTestQueue()
	var waiting []*Item[string]
	for i := range 20000 {
		item := newItem("a", strconv.Itoa(i%5000), time.Duration(20000-i)*time.Second)
		q.Push(start, "high", item)
		waiting = append(waiting, item)
		if len(waiting) > 100 {
			q.Remove(waiting[0])
			waiting = waiting[1:]
		}
	}
	c := q.byName["high"]
	for name, got := range map[string]int{
		"byArrival": c.byArrival.Len(), "byLatestStart": c.byLatestStart.Len(), "byExpiry": c.byExpiry.Len(),
		"flows": len(c.onTime.flows), "active": len(c.onTime.active),
	} {
		if most := 2*len(waiting) + compactThreshold + 1; got > most {
			t.Errorf("%s has %d entries for %d waiting, want at most %d", name, got, len(waiting), most)
		}
	}
}

// A burst that makes one class's requests late must not delay the workspaces of other classes
// in the tier. Without late items, slack decides.
func TestClassBurstKeepsFairSharesInTier(t *testing.T) {
	for _, test := range []struct {
		name string
		late bool
		want string
	}{
		{"none late", false, "bbbbs"},
		{"one late", true, "bsbbb"},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := newTestQueue()
			q.SetClass(Class{Name: "other", Tier: 0})
			for i := range 4 {
				q.Push(start, "high", newItem("b", "burst", time.Minute+time.Duration(i)))
			}
			q.Push(start, "other", newItem("s", "steady", 2*time.Minute))
			if test.late {
				q.Push(start, "high", newItem("l", "burst", -time.Second))
			}
			got := ""
			for range 5 {
				got += q.Pop(start, 4).Value
			}
			if got != test.want {
				t.Errorf("order = %s, want %s", got, test.want)
			}
		})
	}
}

func TestMinLatestStart(t *testing.T) {
	q := newTestQueue()
	if got := q.MinLatestStart("high"); !got.IsZero() {
		t.Errorf("MinLatestStart of an empty class = %v, want the zero time", got)
	}
	q.Push(start, "high", newItem("a", "w", time.Minute))
	urgent := newItem("b", "w", 2*time.Second)
	urgent.Arrived = start.Add(-time.Second)
	q.Push(start, "high", urgent)
	for _, now := range []time.Time{start, start.Add(3 * time.Second)} {
		q.first(now)
		if got := q.MinLatestStart("high"); !got.Equal(urgent.LatestStart) {
			t.Errorf("after %v: MinLatestStart = %v, want %v", now.Sub(start), got, urgent.LatestStart)
		}
	}
}
