package gateway

import (
	"context"
	"fmt"
	"time"

	"galenatrestle/internal/dispatch"
	"galenatrestle/internal/explain"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/upstream"
)

// attempt is one try of a request on a replica. It is used by one goroutine at a time.
type attempt struct {
	exchange *exchange
	number   int
	slot     *dispatch.Slot
	run      *quarantine.Run
	// cancel ends the attempt's context; nil where it has none of its own.
	cancel context.CancelFunc
	// done tells the gate that the attempt has ended; nil before its start.
	done   func()
	sentAt time.Time
	stream *upstream.Stream
	// first is the answer's first payload, valid until the stream's next.
	first []byte
	// err is why there is no first payload.
	err error
	// tokens counts what it has brought.
	tokens int
}

// withCancel gives the attempt a context of its own.
func (a *attempt) withCancel(ctx context.Context) context.Context {
	ctx, a.cancel = context.WithCancel(ctx)
	return ctx
}

// open hands the request to the replica and waits for the first payload.
func (a *attempt) open(ctx context.Context, body []byte) {
	e := a.exchange
	a.done, a.err = e.server.startWork(ctx, e.call, e.completion.upstream.Name)
	if a.err != nil {
		return
	}
	a.sentAt = time.Now()
	e.call.started(a.number, a.slot)
	a.stream, a.err = e.server.options.Engines.Start(ctx, a.slot.Replica.Address, upstream.EngineCall{
		ID:       fmt.Sprintf("%s.%d", e.call.id, a.number),
		Path:     e.completion.path,
		Body:     body,
		Stream:   e.streamed(),
		Patience: e.patience(),
	})
	if a.err != nil {
		return
	}
	a.first, a.err = a.stream.Next()
}

// streamed says whether the engine is asked for a stream.
func (e *exchange) streamed() bool { return !e.completion.opaque || e.completion.request.Stream }

// patience is the longest wait for an attempt's first payload.
func (e *exchange) patience() time.Duration {
	if !e.streamed() {
		return time.Until(e.call.giveUpAt)
	}
	return e.server.options.Retries.FirstTokenTimeout(e.call.class.Name, e.completion.upstream.Name)
}

// close ends the attempt with its error, or nil for a whole answer.
func (a *attempt) close(err error) {
	if a.stream != nil {
		_ = a.stream.Close()
	}
	if a.cancel != nil {
		a.cancel()
	}
	if a.done != nil {
		a.done()
	}
	a.exchange.call.ended(a.number, a.slot, a.tokens, err)
	if a.slot == nil {
		return
	}
	a.slot.Finish(resultOf(err))
	a.exchange.server.guard.settle(time.Now(), a.exchange.completion.upstream.Name, a.run, err)
}

// token notes one more token; began says whether the attempt had one before.
func (a *attempt) token(began bool) {
	a.tokens++
	if began {
		a.slot.RecordTokens(1)
		return
	}
	e := a.exchange
	now := time.Now()
	if e.first.IsZero() {
		e.first = now
	}
	a.slot.RecordFirstToken()
	e.call.timeline.Add(now, &explain.FirstToken{Attempt: a.number, Peer: a.slot.Replica.Address})
	e.server.guard.running.Answered(a.run)
	if e.completion.opaque {
		// Its first payload may be the whole answer.
		return
	}
	e.server.options.Retries.ObserveFirstToken(now, e.call.class.Name, e.completion.upstream.Name, now.Sub(a.sentAt))
}
