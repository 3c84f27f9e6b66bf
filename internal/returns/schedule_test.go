package returns

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// newBusy returns a controller that has admitted ten calls a second for four seconds.
func newBusy() *Controller {
	c := NewController(rand.New(rand.NewPCG(1, 1)))
	for i := range 40 {
		c.Admitted(start.Add(time.Duration(i-40)*100*ms), "u", 1)
	}
	return c
}

// Guards against callers that are refused at the same moment and told to return at the same moment.
func TestReturnsAreSpreadByTheRateWithinAThirdOfTheTimeLeft(t *testing.T) {
	c := newBusy()
	const left = 6 * time.Second
	promised, last := 0, time.Duration(0)
	for i := range 30 {
		told := c.Refuse(start, Refusal{Upstream: "u", Rank: 1, Fingerprint: 7, QueueTime: 400 * ms, TimeLeft: left})
		if told.RetryAfter <= 0 || told.RetryAfter > left/3 {
			t.Fatalf("caller %d is told %s with %s left", i, told.RetryAfter, left)
		}
		if !told.Promised {
			continue
		}
		if gap := told.RetryAfter - last; last > 0 && (gap < 150*ms || gap > 250*ms) {
			t.Errorf("caller %d returns %s after the one before, want 200 ms", i, gap)
		}
		promised, last = promised+1, told.RetryAfter
	}
	if promised < 6 || promised > 8 {
		t.Errorf("%d callers are promised capacity from 0.6 to 1.9 s, half of ten a second", promised)
	}
	if reserved := c.Reserved(start.Add(700*ms), "u", 1); reserved < 200*ms || reserved > 500*ms {
		t.Errorf("%s reserved for the returns of the next half second", reserved)
	}
}

// Guards against promises by a node that does not know its rate, as after a restart, and against a delay that
// a caller with little time does not wait for.
func TestWithoutARateNothingIsPromised(t *testing.T) {
	c := NewController(rand.New(rand.NewPCG(1, 1)))
	told := c.Refuse(start, Refusal{Upstream: "u", TimeLeft: 600 * ms})
	if told.Promised || told.RetryAfter <= 0 || told.RetryAfter > 200*ms || c.Table.Len() != 0 {
		t.Errorf("told %+v, %d entries", told, c.Table.Len())
	}
}

// Guards against a caller that gains by returning early.
func TestCallerThatReturnsEarlyIsToldTheRest(t *testing.T) {
	c := newBusy()
	r := Refusal{Upstream: "u", Rank: 1, Fingerprint: 7, QueueTime: 400 * ms, TimeLeft: 6 * time.Second}
	first := c.Refuse(start, r)
	now := start.Add(200 * ms)
	if r.Arrival = c.Table.Arrive(now, 7); r.Arrival.Kind != Early {
		t.Fatalf("returned %q 200 ms after it was told %s", r.Arrival.Kind, first.RetryAfter)
	}
	if told := c.Refuse(now, r); told.RetryAfter != first.RetryAfter-200*ms || told.Promised {
		t.Errorf("told %+v, want the rest of %s", told, first.RetryAfter)
	}
	if got := c.Table.Arrive(start.Add(first.RetryAfter), 7); got.Kind != AsTold {
		t.Errorf("returned %q at the time that it was told", got.Kind)
	}
}
