package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"galenatrestle/internal/refusal"
)

const (
	// slowCaller is the longest that one event may take to be passed on; half
	// of it is always given. A whole body gets more by its length.
	slowCaller = 30 * time.Second
	// slowestBytes is the least rate at which a caller must take a whole body,
	// in bytes a second.
	slowestBytes = 64 << 10
)

// giveTime lets the caller take a body of the length. After that its
// connection is broken, so that it can't hold the body in memory for ever.
// Where a connection has no deadlines a slow caller is not bounded.
func giveTime(w http.ResponseWriter, length int) {
	allowed := slowCaller + time.Duration(length)*time.Second/slowestBytes
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(allowed))
}

// freshDeadlines takes the deadlines of the connection's last request off.
func freshDeadlines(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Time{})
	_ = control.SetReadDeadline(time.Time{})
}

// brokenBody is the refusal of a request whose body did not arrive whole.
func brokenBody(r *http.Request, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		refused := refusal.BadField("body", "", "did not arrive while the answer was of use")
		refused.Peer = r.RemoteAddr
		refused.Cause = err
		return refused
	}
	refused := refusal.New(refusal.CallerGone, "read body", "the request's body broke off")
	refused.Peer = r.RemoteAddr
	refused.Cause = err
	return refused
}
