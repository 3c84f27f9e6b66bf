package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

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

	attempts int
	// mayHaveRun says that some attempt was not proved not to have run.
	mayHaveRun bool
	replica    string
	avoid      []string
	first      time.Time
	tokens     int
}

// run makes attempts until the answer is whole or given up.
func (e *exchange) run(ctx context.Context) {
	for {
		err := e.attempt(ctx)
		if err == nil {
			e.finish()
			return
		}
		if e.again(ctx, err) {
			continue
		}
		e.giveUp(ctx, err)
		return
	}
}

// attempt waits for a slot and runs the request once.
func (e *exchange) attempt(ctx context.Context) error {
	request := e.completion.routerRequest(e.call)
	request.Attempt = e.attempts + 1
	request.Avoid = e.avoid
	slot, err := e.server.options.Dispatch.Acquire(ctx, e.completion.upstream.Name, request)
	if err != nil {
		return err
	}
	e.attempts++
	e.replica = slot.Replica.Name
	e.observeWait()
	err = e.pass(ctx, slot.Replica.Address, slot)
	slot.Finish(resultOf(err))
	e.mayHaveRun = e.mayHaveRun || upstream.KindOf(err) != upstream.NotRun
	if err != nil {
		e.avoid = append(e.avoid, slot.Replica.Name)
	}
	return err
}

func (e *exchange) observeWait() {
	if e.attempts > 1 {
		return
	}
	wait := time.Since(e.call.arrived).Seconds()
	e.server.metrics.queueWait.WithLabelValues(e.call.class.Name).Observe(wait)
}

// progress is what an attempt tells the decisions.
type progress interface {
	FirstToken()
	Tokens(n int)
}

// pass hands the request to the replica and its answer to the caller.
func (e *exchange) pass(ctx context.Context, address string, slot progress) error {
	body, err := e.completion.engineBody(e.call.class.Tier)
	if err != nil {
		return err
	}
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
		if err := e.take(data, slot); err != nil {
			return err
		}
	}
}

// take passes one chunk on and counts it.
func (e *exchange) take(data []byte, slot progress) error {
	if bytes.Contains(data, usageMark) {
		if e.completion.request.Stream && !e.completion.callerUsage {
			return nil
		}
		return e.toCaller(data)
	}
	e.tokens++
	if e.first.IsZero() {
		e.first = time.Now()
		slot.FirstToken()
	} else {
		slot.Tokens(1)
	}
	return e.toCaller(data)
}

// toCaller passes data on; its error says that the caller is gone.
func (e *exchange) toCaller(data []byte) error {
	if err := e.sink.chunk(data); err != nil {
		return &callerGoneError{cause: err}
	}
	return nil
}

// again decides whether the error allows another attempt.
func (e *exchange) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil || e.sink.begun() {
		return false
	}
	if e.attempts >= e.call.index.Document().Limits.MaxAttempts {
		return false
	}
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.Kind == upstream.Refused {
		return false
	}
	e.reset()
	e.server.metrics.retries.WithLabelValues(string(failed.Kind)).Inc()
	return true
}

// reset forgets an attempt of which the caller saw nothing.
func (e *exchange) reset() {
	e.waste("retried")
	e.first = time.Time{}
	e.tokens = 0
	e.sink.reset()
}

func (e *exchange) waste(cause string) {
	if e.tokens > 0 {
		e.server.metrics.wasted.WithLabelValues(e.call.class.Name, cause).Add(float64(e.tokens))
	}
}

func (e *exchange) finish() {
	if err := e.sink.end(); err != nil {
		e.waste("caller_gone")
		return
	}
	e.server.metrics.answered(e.call, e.first, time.Now(), e.tokens)
}

// giveUp tells the caller, at once, that there will be no answer.
func (e *exchange) giveUp(ctx context.Context, err error) {
	refused := e.refusalOf(ctx, err)
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
	e.sink.fail(refused)
}
