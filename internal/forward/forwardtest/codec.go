package forwardtest

import (
	"net/http"
	"strconv"
	"time"

	"galenatrestle/internal/forward"
	"galenatrestle/internal/ratelimit"
)

// Header names used by Codec.
const (
	HeaderID          = "Call-Id"
	HeaderStamp       = "Stamp"
	HeaderNotExecuted = "Not-Executed"
	HeaderRemaining   = "Remaining-Ms"
	HeaderReplica     = "For-Replica"
	HeaderWorkspace   = "Workspace"
	HeaderLastEvent   = "Last-Event-Id"
	HeaderTimeout     = "Patience-Ms"
	HeaderKey         = "Key"
	HeaderRateLimit   = "Rate-Limit"
	HeaderBrittle     = "Brittle"
	HeaderLeaving     = "Leaving"
	HeaderRetryAfter  = "Retry-After"
	HeaderRank        = "Rank"
)

// Codec implements forward.Codec.
type Codec struct{}

func (Codec) DecodeCaller(h http.Header) forward.CallerHeaders {
	c := forward.CallerHeaders{ID: h.Get(HeaderID), Key: h.Get(HeaderKey), LastEventID: h.Get(HeaderLastEvent)}
	if ms, err := strconv.Atoi(h.Get(HeaderTimeout)); err == nil {
		c.Timeout = time.Duration(ms) * time.Millisecond
	}
	return c
}

func (Codec) EncodeAttempt(caller http.Header, a forward.AttemptHeaders) http.Header {
	h := caller.Clone()
	h.Del(HeaderKey)
	h.Set(HeaderRemaining, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	h.Set(HeaderReplica, a.Replica)
	h.Set(HeaderWorkspace, a.Workspace)
	h.Set(HeaderRank, strconv.Itoa(a.Rank))
	if a.LastEventID != "" {
		h.Set(HeaderLastEvent, a.LastEventID)
	}
	return h
}

func (Codec) DecodeResponse(h http.Header) forward.ResponseHeaders {
	r := forward.ResponseHeaders{
		ID: h.Get(HeaderID), Stamped: h.Get(HeaderStamp) != "",
		NotExecuted: h.Get(HeaderNotExecuted) != "", Encoded: h.Get("Content-Encoding") != "",
	}
	if perSecond, err := strconv.ParseFloat(h.Get(HeaderRateLimit), 64); err == nil {
		r.RateLimit, r.RateLimited = perSecond, true
	}
	if refusals, err := strconv.ParseFloat(h.Get(HeaderBrittle), 64); err == nil {
		r.Brittle = ratelimit.Brittleness{Brittle: true, RefusalsPerSecond: refusals}
	}
	r.Leaving = h.Get(HeaderLeaving) != ""
	if seconds, err := strconv.ParseFloat(h.Get(HeaderRetryAfter), 64); err == nil {
		r.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return r
}

func (Codec) RemoveStamp(h http.Header) { h.Del(HeaderStamp) }
