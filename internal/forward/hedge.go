package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"galenatrestle/internal/placement"
)

// hedge is an attempt that runs beside one whose replica is silent. The silent one is ended only once the hedge's
// replica has taken the call up, which the head of its response shows.
type hedge struct {
	attempt *attempt
	// failure, step and err are how fetching the head ended. done is closed then.
	failure *Failure
	step    string
	err     error
	done    chan struct{}
}

// fetch reads the response's head, reports to ended and then calls interrupt.
func (h *hedge) fetch(ctx context.Context, ended chan<- *hedge, interrupt func()) {
	defer close(h.done)
	if h.failure = h.attempt.open(ctx); h.failure == nil {
		h.step, h.err = h.attempt.fetchHead()
	}
	ended <- h
	interrupt()
}

// settle returns the failure of a hedge that has ended; nil: its replica has taken the call up.
func (h *hedge) settle() *Failure {
	if h.failure != nil {
		return h.failure
	}
	return h.attempt.settle(h.step, h.err)
}

// end ends the hedge, which is not needed any more, and returns its failure.
func (h *hedge) end() *Failure {
	h.attempt.cancel()
	<-h.done
	if h.failure == nil && h.err == nil {
		if failure := h.settle(); failure != nil {
			return failure
		}
	}
	sent := h.attempt.conn != nil && h.attempt.conn.SentAny()
	return &Failure{
		Result: placement.Cancelled, NotRun: !sent, ReachedReplica: sent, Step: stepReadHead,
		Peer: h.attempt.placementAttempt.Replica.Address, Cause: errNotNeeded,
	}
}

// hedging is what a call keeps of its hedges.
type hedging struct {
	running []*hedge
	// ended takes hedges as they end. It has room for all that run.
	ended chan *hedge
	// silentAt is when the replicas of all attempts in progress count as silent; zero: never.
	silentAt time.Time
	// successor is the hedge that replaces the current attempt; nil: none does.
	successor *hedge
}

var (
	errSilent     = errors.New("replica sent no data within the idle timeout")
	errSuperseded = errors.New("replica was silent, and another one has taken the call up")
	errNotNeeded  = errors.New("the replica that was silent went on")
)

// onReadTimeout is called while the attempt waits for data, when its replica counts as silent or a hedge has ended. It
// returns errSuperseded once a hedge's replica has taken the call up.
func (a *attempt) onReadTimeout() error {
	e := a.exchange
	for {
		select {
		case h := <-e.hedging.ended:
			failure := e.settleHedge(h)
			if failure == nil {
				e.hedging.successor = h
				return errSuperseded
			}
			e.recordFailure(failure)
			if e.decideRetry(failure) {
				e.startHedge()
			}
			continue
		default:
		}
		e.checkSilence()
		a.setReadDeadline(e.hedging.silentAt)
		// A hedge that ended before the deadline was set has interrupted nothing.
		if len(e.hedging.ended) == 0 {
			return nil
		}
	}
}

// settleHedge returns the failure of a hedge that has ended.
func (e *exchange) settleHedge(h *hedge) *Failure {
	// From here on the hedge interrupts nothing.
	<-h.done
	e.hedging.running = slices.DeleteFunc(e.hedging.running, func(other *hedge) bool { return other == h })
	failure := h.settle()
	if failure != nil {
		h.attempt.release(failure)
		e.finish(h.attempt, failure)
	}
	return failure
}

// checkSilence starts a hedge if the replicas of all attempts count as silent.
func (e *exchange) checkSilence() {
	now := time.Now()
	if silentAt := e.hedging.silentAt; silentAt.IsZero() || now.Before(silentAt) {
		return
	}
	silent := e.oldestAttempt()
	reason := e.stopReason(&Failure{Step: stepReadBody, Peer: silent.placementAttempt.Replica.Address, Cause: errSilent})
	if reason == "" {
		reason = e.startHedge()
	}
	e.forwarder.metrics.recordSilence(e.call.Upstream, reason)
	e.forwarder.options.Log.Write(&replicaSilent{attempt: silent, reason: reason})
	if reason != "" {
		e.hedging.silentAt = silentAfter(now, silent.silenceTimeout())
	}
}

// startHedge sends the call to another replica while the attempts in progress go on. It returns why it does not, empty if
// it does.
func (e *exchange) startHedge() stopReason {
	e.avoidReplica(e.oldestAttempt().placementAttempt)
	e.attempts++
	a, failure := e.chooseReplica(noWait)
	found := failure == nil
	if found && e.isRunningAt(a.placementAttempt.Replica.ID) {
		found = false
		a.placementAttempt.End(time.Now(), placement.Cancelled)
		e.forwarder.options.Permits.Return(&a.placementAttempt.Replica, a.slot, slotEnding(nil))
	}
	if !found {
		e.attempts--
		return noReplica
	}
	e.begin(a)
	if e.hedging.ended == nil {
		e.hedging.ended = make(chan *hedge, e.call.Route.MaxAttempts)
	}
	h := &hedge{attempt: a, done: make(chan struct{})}
	e.hedging.running = append(e.hedging.running, h)
	e.hedging.silentAt = silentAfter(time.Now(), a.silenceTimeout())
	ctx, cancel := context.WithCancel(e.ctx)
	a.cancel = cancel
	go h.fetch(ctx, e.hedging.ended, e.interruptCurrent())
	return ""
}

// interruptCurrent returns a function that interrupts the current attempt's read.
func (e *exchange) interruptCurrent() func() {
	if e.current == nil {
		return func() {}
	}
	conn := e.current.conn
	return func() { conn.SetReadDeadline(time.Unix(1, 0)) }
}

// isHedged reports whether a hedge runs or has taken the call up.
func (e *exchange) isHedged() bool { return e.hedging.successor != nil || len(e.hedging.running) > 0 }

func (e *exchange) isRunningAt(replica string) bool {
	if e.current != nil && e.current.placementAttempt.Replica.ID == replica {
		return true
	}
	return slices.ContainsFunc(e.hedging.running, func(h *hedge) bool { return h.attempt.placementAttempt.Replica.ID == replica })
}

// oldestAttempt returns the current attempt, or the oldest hedge if that has failed.
func (e *exchange) oldestAttempt() *attempt {
	if e.current != nil {
		return e.current
	}
	return e.hedging.running[0].attempt
}

// continueHedged goes on with a hedge after the current attempt has failed.
func (e *exchange) continueHedged() *Failure {
	h := e.hedging.successor
	if h == nil {
		h = e.awaitHedge()
		if failure := e.settleHedge(h); failure != nil {
			return failure
		}
	}
	e.hedging.successor = nil
	e.endHedges()
	return e.finish(h.attempt, h.attempt.deliver())
}

// awaitHedge waits until a hedge has ended.
func (e *exchange) awaitHedge() *hedge {
	for {
		var silent <-chan time.Time
		if silentAt := e.hedging.silentAt; !silentAt.IsZero() {
			silent = time.After(time.Until(silentAt))
		}
		select {
		case h := <-e.hedging.ended:
			return h
		case <-silent:
			e.checkSilence()
		}
	}
}

// endHedges ends all hedges, since the call goes on without them.
func (e *exchange) endHedges() {
	running := e.hedging.running
	e.hedging.running, e.hedging.silentAt = nil, time.Time{}
	for _, h := range running {
		failure := h.end()
		h.attempt.release(failure)
		e.finish(h.attempt, failure)
		e.recordFailure(failure)
	}
	for range len(e.hedging.ended) {
		<-e.hedging.ended
	}
	if e.current != nil && len(running) > 0 {
		// A hedge that has just ended may have interrupted the connection.
		e.current.setReadDeadline(e.current.readDeadline)
	}
}
