package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"galenatrestle/internal/answer"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/upstream"
)

// usageMark is how an engine's closing usage chunk is told from the others.
var usageMark = []byte(`"choices":[]`)

// exchange is one completion on its way: its attempts and what the caller has
// seen so far. It is for one goroutine.
type exchange struct {
	server     *Server
	call       *call
	completion *completion
	sink       sink
	// record keeps the answer; nil where the store is full.
	record *answer.Record
	// kept counts the current attempt's events in the record.
	kept int64
	// continues is set while an attempt goes on from a delivered prefix.
	continues *continuation

	attempts int
	// notRun counts the attempts proved not to have run.
	notRun  int
	replica string
	avoid   []string
	// sentAt is when the current attempt was sent, begun whether it has
	// brought a token.
	sentAt time.Time
	begun  bool
	first  time.Time
	tokens int
}

// run makes attempts until the answer is whole or given up.
func (e *exchange) run(ctx context.Context) {
	for {
		err := e.attempt(ctx)
		if err == nil {
			e.finish()
			return
		}
		if refused := e.again(ctx, err); refused != nil {
			e.giveUp(refused)
			return
		}
	}
}

// attempt waits for a slot and runs the request once.
func (e *exchange) attempt(ctx context.Context) error {
	slot, run, err := e.acquire(ctx)
	if err != nil {
		return err
	}
	e.attempts++
	e.replica = slot.Replica.Name
	e.observeWait()
	err = e.pass(ctx, slot.Replica.Address, &progress{exchange: e, slot: slot, run: run})
	slot.Finish(resultOf(err))
	e.server.guard.settle(time.Now(), run, err)
	if err == nil {
		return nil
	}
	if upstream.KindOf(err) == upstream.NotRun {
		e.notRun++
	}
	e.avoid = append(e.avoid, slot.Replica.Name)
	return err
}

func (e *exchange) observeWait() {
	if e.attempts > 1 {
		return
	}
	wait := time.Since(e.call.arrived).Seconds()
	e.server.metrics.queueWait.WithLabelValues(e.call.class.Name).Observe(wait)
}

// pass hands the request to the replica and its answer to the caller.
func (e *exchange) pass(ctx context.Context, address string, p *progress) error {
	body, err := e.engineBody()
	if err != nil {
		return err
	}
	e.sentAt, e.begun, e.kept = time.Now(), false, 0
	stream, err := e.server.options.Engines.Start(ctx, address, upstream.EngineCall{
		ID:     fmt.Sprintf("%s.%d", e.call.id, e.attempts),
		Path:   e.completion.path,
		Body:   body,
		Stream: !e.completion.opaque || e.completion.request.Stream,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := e.take(data, p); err != nil {
			return err
		}
	}
}

// engineBody is the body of the next attempt.
func (e *exchange) engineBody() ([]byte, error) {
	if e.continues != nil {
		return e.continues.body, nil
	}
	return e.completion.engineBody(e.call.class.Tier)
}

// take passes one chunk on and counts it.
func (e *exchange) take(data []byte, p *progress) error {
	usage := bytes.Contains(data, usageMark)
	if usage && e.completion.request.Stream && !e.completion.callerUsage {
		return nil
	}
	if !usage {
		e.tokens++
		p.token()
	}
	if e.continues != nil {
		data = e.continues.rebase(data)
	}
	if err := e.sink.chunk(data); err != nil {
		return &upstream.Error{Kind: upstream.Broken, Step: "decode", Peer: p.slot.Replica.Address, Cause: err}
	}
	return nil
}

func (e *exchange) waste(cause string) {
	if e.tokens > 0 {
		e.server.metrics.wasted.WithLabelValues(e.call.class.Name, cause).Add(float64(e.tokens))
	}
}

func (e *exchange) finish() {
	now := time.Now()
	e.server.options.Retries.Succeeded(now, e.call.class.Name, e.completion.upstream.Name)
	err := e.sink.end()
	e.keepEnd()
	if err != nil && !e.followed() {
		e.waste("caller_gone")
		return
	}
	e.server.metrics.answered(e.call, e.first, now, e.tokens)
}

// giveUp tells the caller, at once, that there will be no answer.
func (e *exchange) giveUp(refused *refusal.Error) {
	e.waste(string(refused.Reason))
	e.server.options.Log.WithFields(map[string]any{
		"request":   e.call.id,
		"class":     e.call.class.Name,
		"workspace": e.call.workspace.Name,
		"upstream":  e.completion.upstream.Name,
		"attempt":   e.attempts,
		"step":      refused.Step,
		"peer":      refused.Peer,
	}).WithError(refused).Info("request given up")
	e.keepRefusal(refused)
	e.sink.fail(refused)
}
