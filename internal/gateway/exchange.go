package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"galenatrestle/internal/answer"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
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
	// current is the number of the attempt whose answer is passed on, begun
	// whether it has brought a token.
	current int
	begun   bool
	first   time.Time
	tokens  int
	// elsewhere has another data centre answer; false where this one serves.
	elsewhere func() bool
	// usage is what the engine says of a whole answer, nil where it does not.
	usage *openai.Usage
}

// run makes attempts until the answer is whole or given up.
func (e *exchange) run(ctx context.Context) {
	for {
		err := e.try(ctx)
		if err == nil {
			e.finish()
			return
		}
		refused := e.again(ctx, err)
		if refused == nil {
			continue
		}
		if hasMoved(refused) && !e.sink.begun() {
			if e.elsewhere() {
				e.keepRefusal(refused)
				return
			}
			e.reset()
			continue
		}
		e.giveUp(refused)
		return
	}
}

// try waits for a slot and runs the request once, or twice beside each
// other where that is allowed.
func (e *exchange) try(ctx context.Context) error {
	e.call.queued(e.attempts+1, e.completion.upstream.Name)
	slot, run, err := e.server.acquire(ctx, e.completion.upstream.Name, e.routerRequest())
	if err != nil {
		return err
	}
	e.attempts++
	e.call.bound(e.attempts, slot)
	e.observeWait()
	body, err := e.engineBody()
	a := &attempt{exchange: e, number: e.attempts, slot: slot, run: run, err: err}
	if err == nil {
		a = e.openAttempt(ctx, a, body)
		err = e.relay(a)
	}
	a.close(err)
	if err != nil {
		e.note(a, err)
	}
	return err
}

// note remembers a failed attempt.
func (e *exchange) note(a *attempt, err error) {
	if a.slot == nil || provedNotRun(err) {
		e.notRun++
	}
	if a.slot != nil {
		e.avoid = append(e.avoid, a.slot.Replica.Name)
	}
}

// routerRequest is what the decisions know of the next attempt.
func (e *exchange) routerRequest() router.Request {
	request := e.completion.routerRequest(e.call)
	request.Attempt = e.attempts + 1
	request.Avoid = e.avoid
	return request
}

func (e *exchange) observeWait() {
	if e.attempts > 1 {
		return
	}
	e.server.metrics.waited(e.call)
}

// relay passes an attempt's answer to the caller.
func (e *exchange) relay(a *attempt) error {
	e.current, e.kept, e.begun = a.number, 0, false
	data, err := a.first, a.err
	if a.slot != nil {
		e.replica = a.slot.Replica.Name
	}
	for err == nil {
		if err := e.take(data, a); err != nil {
			return err
		}
		data, err = a.stream.Next()
	}
	// An *upstream.Error may have io.EOF for its cause: only the bare one is
	// the end of a whole answer.
	if err == io.EOF {
		return nil
	}
	return err
}

// engineBody is the body of the next attempt.
func (e *exchange) engineBody() ([]byte, error) {
	if e.continues != nil {
		return e.continues.body, nil
	}
	return e.completion.engineBody(e.call.class.Tier)
}

// take passes one chunk on and counts it.
func (e *exchange) take(data []byte, a *attempt) error {
	usage := bytes.Contains(data, usageMark)
	if usage && e.completion.request.Stream && !e.completion.callerUsage {
		e.noteUsage(data)
		return nil
	}
	if !usage {
		e.tokens++
		a.token(e.begun)
		e.begun = true
	}
	if e.continues != nil {
		data = e.continues.rebase(data)
	}
	if usage || e.completion.opaque {
		e.noteUsage(data)
	}
	if err := e.sink.chunk(data); err != nil {
		return &upstream.Error{Kind: upstream.Broken, Step: "decode", Peer: a.slot.Replica.Address, Cause: err}
	}
	return nil
}

// noteUsage remembers the engine's own count of tokens, if the chunk has one.
func (e *exchange) noteUsage(data []byte) {
	var chunk openai.Response
	if json.Unmarshal(data, &chunk) == nil && chunk.Usage != nil {
		e.usage = chunk.Usage
	}
}

func (e *exchange) waste(cause string) {
	if e.tokens > 0 {
		e.server.metrics.wasted.WithLabelValues(e.call.class.Name, cause).Add(float64(e.tokens))
	}
}

func (e *exchange) finish() {
	now := time.Now()
	e.server.options.Retries.RecordSuccess(now, e.call.class.Name, e.completion.upstream.Name)
	err := e.sink.end()
	e.keepEnd()
	if err != nil && !e.followed() {
		e.waste("caller_gone")
		e.server.endRefused(e.call, callerGone(err))
		return
	}
	e.server.answered(e.call, e.first, now, e.tokens)
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
	e.server.endRefused(e.call, refused)
	e.keepRefusal(refused)
	e.sink.fail(refused)
}
