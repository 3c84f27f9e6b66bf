package edge

import (
	"context"
	"time"

	"galenatrestle/internal/eventlog"
)

// The fractions are parts of the grace time, counted from the stop signal.
const (
	// refuseStreamingFraction is when new streaming responses are refused, since they might
	// not complete in time. Those that began before may still arrive until the exit.
	refuseStreamingFraction = 0.37
	// minServeFraction is how long the node serves at least, since callers keep using an
	// address for a while after it is withdrawn.
	minServeFraction = 0.5
	// idlePeriod is the time without requests after which the node may stop early.
	idlePeriod = 700 * time.Millisecond
	// stopPollInterval is the interval at which the stop conditions are checked.
	stopPollInterval = 25 * time.Millisecond
	// endCallsBefore is the time before the latest exit at which calls in progress are ended, so that their
	// callers are told before the process is gone.
	endCallsBefore = 200 * time.Millisecond
	// refuseBefore is the time before that in which no call is taken.
	refuseBefore = 100 * time.Millisecond
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
		elapsed := now.Sub(began)
		if elapsed > fraction(grace, refuseStreamingFraction) {
			n.handler.RefuseStreaming()
		}
		latest := exit.latest()
		answerBy := latest - endCallsBefore
		n.handler.AnswerBy(began.Add(answerBy))
		idle := n.handler.InFlight() == 0 && n.handler.IdleTime(now) > idlePeriod
		if idle && elapsed > fraction(grace, minServeFraction) || elapsed > answerBy-refuseBefore {
			refusing = true
			n.handler.RefuseNew()
			n.relays.RefuseNew()
		}
		if elapsed > answerBy {
			n.handler.EndCalls()
		}
		if elapsed > latest || refusing && n.handler.InFlight() == 0 && n.relays.Open() == 0 {
			break
		}
	}
	n.log.Write(&lifecycle{name: "stopped", fields: eventlog.Fields{
		"in_flight": n.handler.InFlight(), "ms": time.Since(began).Milliseconds(), "poll_delay_ms": exit.second.Milliseconds(),
	}})
}

// stopAnnounceTimeout bounds announcing the stop to the other nodes.
const stopAnnounceTimeout = 300 * time.Millisecond

func fraction(d time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(d))
}
