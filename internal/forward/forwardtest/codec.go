package forwardtest

import (
	"net/http"
	"strconv"
	"time"

	"galenatrestle/internal/forward"
)

// The headers of the codec.
const (
	HeaderID          = "Call-Id"
	HeaderStamp       = "Stamp"
	HeaderNotExecuted = "Not-Executed"
	HeaderRemaining   = "Remaining-Ms"
	HeaderReplica     = "For-Replica"
	HeaderWorkspace   = "Workspace"
	HeaderLastEvent   = "Last-Event-Id"
	HeaderPatience    = "Patience-Ms"
	HeaderKey         = "Key"
	HeaderRateLimit   = "Rate-Limit"
)

// Codec implements forward.Codec.
type Codec struct{}

// Caller implements forward.Codec.
func (Codec) Caller(h http.Header) forward.CallerHeaders {
	c := forward.CallerHeaders{ID: h.Get(HeaderID), Key: h.Get(HeaderKey), LastEvent: h.Get(HeaderLastEvent)}
	if ms, err := strconv.Atoi(h.Get(HeaderPatience)); err == nil {
		c.Patience = time.Duration(ms) * time.Millisecond
	}
	return c
}

// Attempt implements forward.Codec.
func (Codec) Attempt(caller http.Header, a forward.AttemptHeaders) http.Header {
	h := caller.Clone()
	h.Del(HeaderKey)
	h.Set(HeaderRemaining, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	h.Set(HeaderReplica, a.Replica)
	h.Set(HeaderWorkspace, a.Workspace)
	if a.LastEvent != "" {
		h.Set(HeaderLastEvent, a.LastEvent)
	}
	return h
}

// Answer implements forward.Codec.
func (Codec) Answer(h http.Header) forward.AnswerHeaders {
	a := forward.AnswerHeaders{
		ID: h.Get(HeaderID), Stamped: h.Get(HeaderStamp) != "",
		NotExecuted: h.Get(HeaderNotExecuted) != "", Encoded: h.Get("Content-Encoding") != "",
	}
	if perSecond, err := strconv.ParseFloat(h.Get(HeaderRateLimit), 64); err == nil {
		a.RateLimit, a.RateLimited = perSecond, true
	}
	return a
}

// WithoutStamp implements forward.Codec.
func (Codec) WithoutStamp(h http.Header) { h.Del(HeaderStamp) }
