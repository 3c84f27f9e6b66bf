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

// lane is one attempt on a replica. It is used by one goroutine at a time.
type lane struct {
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
func (l *lane) withCancel(ctx context.Context) context.Context {
	ctx, l.cancel = context.WithCancel(ctx)
	return ctx
}

// open hands the request to the replica and waits for the first payload.
func (l *lane) open(ctx context.Context, body []byte) {
	e := l.exchange
	l.done, l.err = e.server.startWork(ctx, e.call, e.completion.upstream.Name)
	if l.err != nil {
		return
	}
	l.sentAt = time.Now()
	e.call.started(l.number, l.slot)
	l.stream, l.err = e.server.options.Engines.Start(ctx, l.slot.Replica.Address, upstream.EngineCall{
		ID:       fmt.Sprintf("%s.%d", e.call.id, l.number),
		Path:     e.completion.path,
		Body:     body,
		Stream:   e.streamed(),
		Patience: e.patience(),
	})
	if l.err != nil {
		return
	}
	l.first, l.err = l.stream.Next()
}

// streamed says whether the engine is asked for a stream.
func (e *exchange) streamed() bool { return !e.completion.opaque || e.completion.request.Stream }

// patience is the longest wait for an attempt's first payload.
func (e *exchange) patience() time.Duration {
	if !e.streamed() {
		return time.Until(e.call.giveUpAt)
	}
	return e.server.options.Retries.Patience(e.call.class.Name, e.completion.upstream.Name)
}

// close ends the attempt with its error, or nil for a whole answer.
func (l *lane) close(err error) {
	if l.stream != nil {
		_ = l.stream.Close()
	}
	if l.cancel != nil {
		l.cancel()
	}
	if l.done != nil {
		l.done()
	}
	l.exchange.call.ended(l.number, l.slot, l.tokens, err)
	if l.slot == nil {
		return
	}
	l.slot.Finish(resultOf(err))
	l.exchange.server.guard.settle(time.Now(), l.run, err)
}

// token notes one more token; began says whether the attempt had one before.
func (l *lane) token(began bool) {
	l.tokens++
	if began {
		l.slot.Tokens(1)
		return
	}
	e := l.exchange
	now := time.Now()
	if e.first.IsZero() {
		e.first = now
	}
	l.slot.FirstToken()
	e.call.story.Add(now, &explain.FirstToken{Attempt: l.number, Peer: l.slot.Replica.Address})
	e.server.guard.running.Answered(l.run)
	if e.completion.opaque {
		// Its first payload may be the whole answer.
		return
	}
	e.server.options.Retries.ObserveFirstToken(now, e.call.class.Name, e.completion.upstream.Name, now.Sub(l.sentAt))
}
