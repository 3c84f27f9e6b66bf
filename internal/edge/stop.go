package edge

import (
	"context"
	"time"

	"galenatrestle/internal/eventlog"
)

const (
	// idlePeriod is the time without requests after which the node may stop early.
	idlePeriod = 700 * time.Millisecond
	// stopPollInterval is the interval at which the stop conditions are checked.
	stopPollInterval = 25 * time.Millisecond
	// closeCallersTimeout bounds closing the callers' connections.
	closeCallersTimeout = 100 * time.Millisecond
)

// stop withdraws the node's address, serves requests that still arrive, and returns when
// the node is idle or the time is over. It takes only calls that will be answered in its time and refuses all
// before it returns: a call that is sent to a replica while the process ends would be cut.
func (n *Node) stop() {
	grace := n.settings.Load().PassThrough.Grace.Std()
	began := time.Now()
	n.leaving.Store(true)
	n.handler.DisableKeepAlives()
	n.log.Write(&lifecycle{name: "stopping", fields: eventlog.Fields{"in_flight": n.handler.InFlight()}})
	ctx, cancel := context.WithTimeout(context.Background(), stopAnnounceTimeout)
	n.sync.Announce(ctx)
	cancel()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	refusing := false
	exit := exitTime{grace: grace, lastPoll: time.Now()}
	for range ticker.C {
		now := time.Now()
		exit.observe(now, stopPollInterval)
		idle := n.handler.InFlight() == 0 && n.handler.IdleTime(now) > idlePeriod
		step := exit.step(now.Sub(began), idle)
		n.handler.AnswerBy(began.Add(step.answerBy))
		if step.refuseStreaming {
			n.handler.RefuseStreaming()
		}
		if step.refuseAll {
			refusing = true
			n.handler.RefuseNew()
			n.relays.RefuseNew()
		}
		if step.endCalls {
			n.handler.EndCalls()
		}
		if step.exit || refusing && n.handler.InFlight() == 0 && n.relays.Open() == 0 {
			n.closeCallers(step.left)
			break
		}
	}
	n.log.Write(&lifecycle{name: "stopped", fields: eventlog.Fields{
		"in_flight": n.handler.InFlight(), "ms": time.Since(began).Milliseconds(), "poll_delay_ms": exit.second.Milliseconds(),
	}})
}

// closeCallers takes no more connections of callers and closes those that are open when their requests are answered,
// within the time at most. A connection that is taken and cut by the exit may have brought a request.
func (n *Node) closeCallers(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), min(within, closeCallersTimeout))
	defer cancel()
	if err := n.callers.Close(ctx); err != nil {
		n.log.Error("close callers' connections", err)
	}
}

// stopAnnounceTimeout bounds announcing the stop to the other nodes.
const stopAnnounceTimeout = 300 * time.Millisecond
