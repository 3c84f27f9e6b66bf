package gateway

import (
	"net/http"
	"time"

	"galenatrestle/internal/answer"
	"galenatrestle/internal/refusal"
)

// open begins to keep the answer. Where the store is full the answer is given
// all the same, but cannot be fetched again.
func (e *exchange) open() {
	record, err := e.server.options.Answers.Open(e.call.arrived, answer.Meta{
		ID:        e.call.id,
		Workspace: e.call.workspace.Name,
		Upstream:  e.completion.upstream.Name,
		Streamed:  e.completion.request.Stream,
		Retention: e.call.class.Retention.Std(),
	})
	if err != nil {
		e.server.metrics.unkept.Inc()
		return
	}
	contentType := typeJSON
	if e.completion.request.Stream {
		contentType = typeEventStream
	}
	record.Describe(http.StatusOK, contentType)
	e.record = record
}

// keep adds one event to the kept answer. An answer too large to keep is given
// all the same.
func (e *exchange) keep(data []byte) {
	if e.record == nil {
		return
	}
	e.kept++
	if err := e.record.Append(time.Now(), e.current, e.kept, data); err != nil {
		e.server.metrics.unkept.Inc()
		e.record.Fail(time.Now(), refusal.New(refusal.UnknownRequest, "keep", "the answer is too large to be kept"))
		e.record = nil
	}
}

// keepEnd says that the kept answer is whole.
func (e *exchange) keepEnd() {
	if e.record != nil {
		// It can only have ended before, which keep has noticed.
		_ = e.record.Finish(time.Now(), e.current, e.kept)
	}
}

// followed says whether another connection follows the kept answer.
func (e *exchange) followed() bool { return e.record != nil && e.record.Readers() > 0 }

// keepRefusal says that there will be no more of the kept answer.
func (e *exchange) keepRefusal(refused *refusal.Error) {
	if e.record == nil {
		return
	}
	if refused.Reason == refusal.CallerGone {
		e.record.Cancel(time.Now())
		return
	}
	e.record.Fail(time.Now(), refused)
}
