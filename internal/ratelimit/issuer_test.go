package ratelimit

import (
	"testing"
	"time"
)

// issued is the permits given to asks every 10 ms for so long.
func issued(i *Issuer, l Limit, share float64, from time.Time, length time.Duration) int {
	given := 0
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		if i.Issue(from.Add(at), l, share).Granted {
			given++
		}
	}
	return given
}

func TestAnIssuerGivesTheRateNamed(t *testing.T) {
	for _, test := range []struct {
		perSecond, share float64
		length           time.Duration
		want             int
	}{
		{1.5, 1, 20 * time.Second, 29},
		{40, 1, 10 * time.Second, 399},
		{40, 0.25, 10 * time.Second, 99},
		{0, 1, 101 * time.Second, 10},
	} {
		got := issued(NewIssuer(), Limit{Replica: "i-1", PerSecond: test.perSecond}, test.share, epoch, test.length)
		if got < test.want-1 || got > test.want+1 {
			t.Errorf("%g a second, share %g: %d permits in %s, want %d", test.perSecond, test.share, got, test.length, test.want)
		}
	}
}

func TestANewIssuerHasNothingToGive(t *testing.T) {
	i := NewIssuer()
	g := i.Issue(epoch, Limit{Replica: "i-1", PerSecond: 2}, 1)
	if g.Granted || g.RetryAfter != 500*time.Millisecond {
		t.Errorf("%+v", g)
	}
	if g := i.Issue(epoch.Add(g.RetryAfter), Limit{Replica: "i-1", PerSecond: 2}, 1); !g.Granted {
		t.Errorf("%+v when the next permit was to be there", g)
	}
}

func TestPermitsThatNobodyAskedForAreKeptForASecond(t *testing.T) {
	i := NewIssuer()
	l := Limit{Replica: "i-1", PerSecond: 8}
	i.Issue(epoch, l, 1)
	if got := issued(i, l, 1, epoch.Add(time.Hour), 4*time.Second); got < 40 || got > 41 {
		t.Errorf("%d permits in 4 s after an hour without an ask, want those of 5 s", got)
	}
}

func TestALowerRateCountsAtOnce(t *testing.T) {
	i := NewIssuer()
	issued(i, Limit{Replica: "i-1", PerSecond: 100}, 1, epoch, time.Second)
	got := issued(i, Limit{Replica: "i-1", PerSecond: 1}, 1, epoch.Add(time.Second), 4*time.Second)
	if got > 5 {
		t.Errorf("%d permits in 4 s at 1 a second", got)
	}
}
