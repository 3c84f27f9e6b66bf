package ratelimit

import (
	"testing"
	"time"
)

// countIssued returns the number of permits granted to requests every 10 ms.
func countIssued(i *Issuer, l Limit, share float64, from time.Time, length time.Duration) int {
	granted := 0
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		if i.Issue(from.Add(at), l, share).Granted {
			granted++
		}
	}
	return granted
}

func TestIssuerGrantsPermitsAtTheRate(t *testing.T) {
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
		got := countIssued(NewIssuer(), Limit{Replica: "i-1", PerSecond: test.perSecond}, test.share, epoch, test.length)
		if got < test.want-1 || got > test.want+1 {
			t.Errorf("%g per second, share %g: %d permits in %s, want %d", test.perSecond, test.share, got, test.length, test.want)
		}
	}
}

func TestNewIssuerStartsWithoutPermits(t *testing.T) {
	i := NewIssuer()
	g := i.Issue(epoch, Limit{Replica: "i-1", PerSecond: 2}, 1)
	if g.Granted || g.RetryAfter != 500*time.Millisecond {
		t.Errorf("%+v", g)
	}
	if g := i.Issue(epoch.Add(g.RetryAfter), Limit{Replica: "i-1", PerSecond: 2}, 1); !g.Granted {
		t.Errorf("request after RetryAfter: %+v, want a permit", g)
	}
}

func TestUnusedPermitsAccumulateForOneSecond(t *testing.T) {
	i := NewIssuer()
	l := Limit{Replica: "i-1", PerSecond: 8}
	i.Issue(epoch, l, 1)
	if got := countIssued(i, l, 1, epoch.Add(time.Hour), 4*time.Second); got < 40 || got > 41 {
		t.Errorf("%d permits in 4 s after an idle hour, want those of 5 s", got)
	}
}

func TestLowerRateAppliesImmediately(t *testing.T) {
	i := NewIssuer()
	countIssued(i, Limit{Replica: "i-1", PerSecond: 100}, 1, epoch, time.Second)
	got := countIssued(i, Limit{Replica: "i-1", PerSecond: 1}, 1, epoch.Add(time.Second), 4*time.Second)
	if got > 5 {
		t.Errorf("%d permits in 4 s at 1 per second", got)
	}
}
