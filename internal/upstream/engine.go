package upstream

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"galenatrestle/internal/openai"
	"galenatrestle/internal/pause"
)

// maxErrorBytes bounds what is read of an upstream's error answer.
const maxErrorBytes = 16 << 10

// Engine calls model engines. It is safe for concurrent use.
type Engine struct {
	options   Options
	transport *http.Transport
}

// NewEngine returns a client for engines.
func NewEngine(options Options) *Engine {
	options = options.withDefaults()
	return &Engine{options: options, transport: newTransport(options)}
}

// Close closes the idle connections.
func (e *Engine) Close() { e.transport.CloseIdleConnections() }

// Start hands the call to the engine at address (host:port) and returns when
// its answer begins. The caller must close the stream. Cancelling ctx closes
// the connection, which tells the engine to stop. Errors are *Error.
func (e *Engine) Start(ctx context.Context, address string, call EngineCall) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	call.Patience = cmp.Or(call.Patience, e.options.StallTimeout)
	stall := time.AfterFunc(call.Patience, func() { cancel(errStalled) })
	response, err := e.send(ctx, address, call)
	if err != nil {
		stall.Stop()
		cancel(nil)
		return nil, err
	}
	return newStream(ctx, cancel, stall, address, call, response, e.options), nil
}

func (e *Engine) send(ctx context.Context, address string, call EngineCall) (*http.Response, error) {
	var handed handover
	request, err := http.NewRequestWithContext(handed.trace(ctx), http.MethodPost,
		"http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &Error{Kind: NotRun, Step: "encode", Peer: address, Cause: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(openai.HeaderRequestID, call.ID)
	response, err := roundTrip(e.transport, request)
	if err != nil && !handed.happened.Load() {
		return nil, &Error{Kind: NotRun, Step: "dial", Peer: address, Cause: err}
	}
	if err != nil {
		return nil, failure(ctx, "send", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, e.refused(address, response)
	}
	return response, nil
}

// refused makes an *Error of an engine's error answer and passes on what it says about the engine.
func (e *Engine) refused(address string, response *http.Response) *Error {
	refused := refusedBy(address, response)
	if e.options.Refused != nil {
		refusal := EngineRefusal{Address: address, Code: refused.Code}
		if refused.Kind == NotRun {
			refusal.Pause = pause.ParseRetryAfter(response.Header.Get("Retry-After"))
		}
		e.options.Refused(refusal)
	}
	return refused
}

// refusedBy turns an engine's error answer into an *Error and closes it.
func refusedBy(address string, response *http.Response) *Error {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	refused := &Error{Kind: Refused, Step: "status", Peer: address, Status: response.StatusCode, Cause: err}
	var shape openai.ErrorBody
	if json.Unmarshal(body, &shape) == nil {
		refused.Code = shape.Error.Code
	}
	if response.StatusCode == http.StatusServiceUnavailable && saysNotRun(refused.Code) {
		refused.Kind = NotRun
	}
	return refused
}

func saysNotRun(code string) bool {
	return code == openai.CodeOverloaded || code == openai.CodeLeaving
}
