package engine

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"galenatrestle/internal/openai"
	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/standin/reply"
)

// maxTokenLimit is the longest answer an engine gives, in tokens.
const maxTokenLimit = 1 << 20

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// complete serves both completion endpoints.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	if e.refuses(w) {
		return
	}
	var request openai.Request
	if !readJSON(w, r, &request) || !e.valid(w, &request) {
		return
	}
	g := newGeneration(&request, r.Header.Get(openai.HeaderRequestID), e.opts.Seed)
	g.abort = func() {
		// Where the connection has no deadlines, the next write ends it.
		_ = http.NewResponseController(w).SetWriteDeadline(longAgo)
	}
	if !e.submit(g) {
		reply.Error(w, http.StatusServiceUnavailable, openai.CodeOverloaded, "the queue is full")
		return
	}
	defer e.cancel(g) // does nothing once it has ended
	a := &answer{engine: e, generation: g, request: &request, chat: strings.HasSuffix(r.URL.Path, "/chat/completions")}
	a.created = time.Now().Unix()
	if request.Stream {
		a.stream(w, r)
		return
	}
	a.whole(w, r)
}

// refuses answers for an engine that takes nothing new; it then returns true.
func (e *Engine) refuses(w http.ResponseWriter) bool {
	if _, on := e.faults.Get(fault.Leaving); on {
		reply.Error(w, http.StatusServiceUnavailable, openai.CodeLeaving, "the engine is leaving")
		return true
	}
	if _, on := e.faults.Get(fault.Refuse); on {
		reply.Error(w, http.StatusServiceUnavailable, openai.CodeOverloaded, "the engine takes no work")
		return true
	}
	return false
}

// valid answers a request that cannot run with a 4xx; it then returns false.
func (e *Engine) valid(w http.ResponseWriter, request *openai.Request) bool {
	e.mu.Lock()
	serves := e.orders.serves(request.Model)
	e.mu.Unlock()
	if !serves {
		reply.Error(w, http.StatusNotFound, "model_not_found", fmt.Sprintf("field model: value %q is not loaded", request.Model))
		return false
	}
	if limit := request.TokenLimit(); limit < 0 || limit > maxTokenLimit {
		message := fmt.Sprintf("field max_tokens: value %d is not from 0 to %d", limit, maxTokenLimit)
		reply.Error(w, http.StatusBadRequest, "bad_request", message)
		return false
	}
	return true
}
