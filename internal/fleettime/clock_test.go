package fleettime

import (
	"fmt"
	"testing"
	"time"

	"galenatrestle/internal/boottime"
)

// fixture is a clock whose boot time and time of day the test sets.
type fixture struct {
	boot boottime.Instant
	wall time.Time
	*Clock
}

func newFixture() *fixture {
	f := &fixture{boot: boottime.Instant(time.Hour), wall: time.Unix(1_700_000_000, 0)}
	f.Clock = New(func() boottime.Instant { return f.boot }, func() time.Time { return f.wall })
	return f
}

func (f *fixture) pass(d time.Duration) {
	f.boot = f.boot.Add(d)
	f.wall = f.wall.Add(d)
}

func TestANodeAloneUsesItsOwnClock(t *testing.T) {
	f := newFixture()
	if got := f.Now(); !got.Equal(f.wall) {
		t.Errorf("time is %s, want the VM's own %s", got, f.wall)
	}
}

func TestOneClockThatIsSetBackOrForwardMovesNothing(t *testing.T) {
	for _, jump := range []time.Duration{-5 * time.Second, 5 * time.Second} {
		f := newFixture()
		truth := f.wall
		for i := range 4 {
			f.Told(fmt.Sprint("node-", i), truth.Add(time.Duration(i)*time.Millisecond), f.boot)
		}
		// This VM's clock and one other's jump.
		f.wall = f.wall.Add(jump)
		f.Told("node-0", truth.Add(jump), f.boot)
		if off := f.Now().Sub(truth).Abs(); off > 10*time.Millisecond {
			t.Errorf("jump of %s: the fleet's time is off by %s", jump, off)
		}
	}
}

func TestTimeGoesOnBetweenMedians(t *testing.T) {
	f := newFixture()
	before := f.Now()
	f.pass(agreeEvery / 2)
	if passed := f.Now().Sub(before); passed != agreeEvery/2 {
		t.Errorf("%s passed, want %s", passed, agreeEvery/2)
	}
}

func TestClocksThatWereNotHeardLatelyDoNotCount(t *testing.T) {
	f := newFixture()
	for i := range maxClocks {
		f.Told(fmt.Sprint("old-", i), f.wall.Add(time.Hour), f.boot)
	}
	f.pass(rememberFor + time.Second)
	if off := f.Now().Sub(f.wall).Abs(); off > time.Millisecond {
		t.Errorf("nodes that are gone move the time by %s", off)
	}
	f.Told("new", f.wall, f.boot)
	if len(f.offsets) != 1 {
		t.Errorf("%d clocks are remembered, want the new one", len(f.offsets))
	}
}
