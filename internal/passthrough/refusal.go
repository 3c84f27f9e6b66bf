package passthrough

import (
	"net/http"
	"strconv"
	"time"
)

// reason is why a request is refused, in logs and metrics.
type reason string

const (
	noConfiguration    reason = "no_configuration"
	staleConfiguration reason = "stale_configuration"
	unknownRoute       reason = "unknown_route"
	unknownKey         reason = "unknown_key"
	bodyTooLarge       reason = "body_too_large"
	bodyUnreadable     reason = "body_unreadable"
	stopping           reason = "stopping"
	// unknownOrigin and movedOrigin are resumed streams of which it is not known at which software
	// version they began, and of which the route no longer allows the upstream that began them.
	unknownOrigin reason = "unknown_stream_origin"
	movedOrigin   reason = "stream_origin_moved"
)

// retryDelay is the Retry-After of refusals for a missing or outdated configuration, or because all
// nodes stop. It is about the time to receive a configuration, as a node that has just started does.
const retryDelay = 300 * time.Millisecond

// rejection is the response to a refused request.
type rejection struct {
	reason reason
	status int
	// retryAfter is zero if a retry would be refused, too.
	retryAfter time.Duration
}

var (
	noConfigurationRejection    = rejection{noConfiguration, http.StatusServiceUnavailable, retryDelay}
	staleConfigurationRejection = rejection{staleConfiguration, http.StatusServiceUnavailable, retryDelay}
	unknownRouteRejection       = rejection{unknownRoute, http.StatusNotFound, 0}
	unknownKeyRejection         = rejection{unknownKey, http.StatusUnauthorized, 0}
	bodyTooLargeRejection       = rejection{bodyTooLarge, http.StatusRequestEntityTooLarge, 0}
	bodyUnreadableRejection     = rejection{bodyUnreadable, http.StatusBadRequest, 0}
	unknownOriginRejection      = rejection{unknownOrigin, http.StatusServiceUnavailable, retryDelay}
	movedOriginRejection        = rejection{movedOrigin, http.StatusServiceUnavailable, retryDelay}
	stoppingRejection           = rejection{stopping, http.StatusServiceUnavailable, time.Millisecond}
	allStoppingRejection        = rejection{stopping, http.StatusServiceUnavailable, retryDelay}
)

func (r *rejection) write(w http.ResponseWriter) {
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(r.status)
}
