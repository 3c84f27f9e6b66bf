package edge

import (
	"context"
	"time"

	"galenatrestle/internal/eventlog"
)

// The parts of the grace time at which a planned stop goes on.
const (
	// lastCallPart is when long answers are not begun any more: one that began
	// later might not end in time.
	lastCallPart = 0.37
	// endPart is when the process ends at the latest. Answers that were begun
	// before lastCallPart may still come in the last sixth of the grace time.
	endPart = 0.92
	// leastPart is how long it serves at least: callers keep the address for a
	// while after it is not told any more.
	leastPart = 0.5
	// quietFor without a request ends the wait early.
	quietFor = 700 * time.Millisecond
	// stopLook is how often the stop looks whether it may end.
	stopLook = 25 * time.Millisecond
)

// stop lets callers go to other nodes, serves those that come all the same, and
// returns when nothing is in flight or the time is over.
func (n *Node) stop() {
	grace := n.settings.Load().PassThrough.Grace.Std()
	began := time.Now()
	n.leaving.Store(true)
	n.handler.DisableKeepAlives()
	n.log.Write(&lifecycle{name: "stopping", fields: eventlog.Fields{"in_flight": n.handler.InFlight()}})
	ctx, cancel := context.WithTimeout(context.Background(), callTimeoutAtStop)
	n.sync.Announce(ctx)
	cancel()
	ticker := time.NewTicker(stopLook)
	defer ticker.Stop()
	for now := range ticker.C {
		spent := now.Sub(began)
		if spent > part(grace, lastCallPart) {
			n.handler.RefuseStreaming()
		}
		idle := n.handler.InFlight() == 0 && n.handler.IdleTime(now) > quietFor
		if spent > part(grace, endPart) || (idle && spent > part(grace, leastPart)) {
			break
		}
	}
	n.log.Write(&lifecycle{name: "stopped", fields: eventlog.Fields{
		"in_flight": n.handler.InFlight(), "ms": time.Since(began).Milliseconds(),
	}})
}

// callTimeoutAtStop bounds telling the other nodes of the stop.
const callTimeoutAtStop = 300 * time.Millisecond

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}
