package passthrough

import (
	"net/http"
	"strconv"
	"time"
)

// reason is one entry of the closed list of why a request is refused here.
type reason string

// The reasons.
const (
	noConfiguration    reason = "no_configuration"
	staleConfiguration reason = "stale_configuration"
	unknownRoute       reason = "unknown_route"
	unknownKey         reason = "unknown_key"
	bodyTooLarge       reason = "body_too_large"
	bodyUnreadable     reason = "body_unreadable"
	stopping           reason = "stopping"
)

// comeBack is what a refused caller is told to wait: about the time in which a
// node gets its configuration or another node takes the request.
const comeBack = 300 * time.Millisecond

// refused is a request that was not run.
type refused struct {
	reason reason
	status int
	// retryAfter is zero where coming back does not help.
	retryAfter time.Duration
}

var (
	refuseNoConfiguration = refused{noConfiguration, http.StatusServiceUnavailable, comeBack}
	refuseStale           = refused{staleConfiguration, http.StatusServiceUnavailable, comeBack}
	refuseRoute           = refused{unknownRoute, http.StatusNotFound, 0}
	refuseKey             = refused{unknownKey, http.StatusUnauthorized, 0}
	refuseTooLarge        = refused{bodyTooLarge, http.StatusRequestEntityTooLarge, 0}
	refuseUnreadable      = refused{bodyUnreadable, http.StatusBadRequest, 0}
	refuseStopping        = refused{stopping, http.StatusServiceUnavailable, time.Millisecond}
)

func (r *refused) write(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(r.status)
}
