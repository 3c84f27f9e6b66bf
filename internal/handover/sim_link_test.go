package handover

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// simLink is a connection with faults; each call may be late, lost, or carried
// out twice, and the answer may be lost.
type simLink struct {
	mu       sync.Mutex
	random   *rand.Rand
	cutUntil time.Time
	loss     float64
	double   float64
	delay    time.Duration
	late     sync.WaitGroup
}

func (l *simLink) draw() (wait, lateWait time.Duration, lostGoing, lostComing, doubled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := time.Now().Before(l.cutUntil)
	wait = time.Millisecond + time.Duration(l.random.Int64N(int64(l.delay)+1))
	lateWait = time.Duration(l.random.Int64N(int64(3 * time.Second)))
	lostGoing = cut || l.random.Float64() < l.loss
	lostComing = l.random.Float64() < l.loss
	doubled = !lostGoing && l.random.Float64() < l.double
	return wait, lateWait, lostGoing, lostComing, doubled
}

// simCall carries f out over the link. A doubled call's second result is lost.
func simCall[T any](ctx context.Context, l *simLink, f func() (T, error)) (T, error) {
	var none T
	wait, lateWait, lostGoing, lostComing, doubled := l.draw()
	time.Sleep(wait)
	if lostGoing {
		<-ctx.Done()
		return none, errSimLink
	}
	if doubled {
		l.late.Go(func() {
			time.Sleep(lateWait)
			_, _ = f()
		})
	}
	got, err := f()
	if lostComing {
		<-ctx.Done()
		return none, errSimLink
	}
	return got, err
}
