package forward

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"galenatrestle/internal/placement"
)

// writeSlack is how long after the deadline an answer that is ready may still
// be taken by the caller.
const writeSlack = 2 * time.Second

// outlet writes the one answer to the caller. It is for one goroutine.
type outlet struct {
	w       http.ResponseWriter
	control *http.ResponseController
	codec   Codec
	started bool
	bytes   int64
}

func newOutlet(w http.ResponseWriter, codec Codec, c *Call) *outlet {
	o := &outlet{w: w, control: http.NewResponseController(w), codec: codec}
	// A caller that does not read must not hold a replica for ever. A writer
	// without deadlines is one of a test.
	_ = o.control.SetWriteDeadline(c.Deadline.Add(writeSlack))
	return o
}

// close lets the connection's next request have a deadline of its own.
func (o *outlet) close() { _ = o.control.SetWriteDeadline(time.Time{}) }

// begun says whether the caller has seen a part of the answer.
func (o *outlet) begun() bool { return o.started }

// HopByHopHeaders concern one connection and are not passed on, in either
// direction.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// start writes the head of a replica's answer; a negative length is unknown.
func (o *outlet) start(r *http.Response, length int64) {
	o.copyHeader(r.Header)
	if length >= 0 {
		o.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	o.started = true
	o.w.WriteHeader(r.StatusCode)
}

// copyHeader takes over the headers that are not of one connection. What this side
// says of the caller's own connection stays.
func (o *outlet) copyHeader(from http.Header) {
	to := o.w.Header()
	for name, values := range from {
		if name != "Content-Length" && !slices.Contains(HopByHopHeaders, name) {
			to[name] = values
		}
	}
}

func (o *outlet) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	o.bytes += int64(len(data))
	_, err := o.w.Write(data)
	return err
}

// writeNow writes the data and hands it to the network.
func (o *outlet) writeNow(data []byte) error {
	if err := o.write(data); err != nil {
		return err
	}
	return o.control.Flush()
}

// whole writes a whole answer.
func (o *outlet) whole(r *http.Response, body []byte) error {
	o.start(r, int64(len(body)))
	return o.write(body)
}

// replicaFailure passes a replica's own failure on. A status by which callers
// understand that the call was not run becomes another one: it has run.
func (o *outlet) replicaFailure(f *Failure) {
	header := f.Header.Clone()
	status := f.Status
	if promisesNotRun(status) {
		status = http.StatusBadGateway
		o.codec.RemoveStamp(header)
		header.Del("Retry-After")
	}
	o.copyHeader(header)
	o.w.Header().Set("Content-Length", strconv.Itoa(len(f.Body)))
	o.started = true
	o.w.WriteHeader(status)
	// The caller's own leaving is the only way to fail, and ends the call too.
	_ = o.write(f.Body)
}

// promisesNotRun says whether callers take the status for a promise that the
// call was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// notRun tells the caller that the call was not run, and when to come back.
func (o *outlet) notRun(after time.Duration) {
	o.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	o.status(http.StatusServiceUnavailable)
}

func (o *outlet) status(code int) {
	o.started = true
	o.w.Header().Set("Content-Length", "0")
	o.w.WriteHeader(code)
}

// errCallerGone says that the caller has left or takes no more bytes.
var errCallerGone = errors.New("the caller has left")

// delivered turns an error of writing to the caller into a failure; nil for
// none.
func (a *attempt) delivered(err error) *Failure {
	if err == nil {
		return nil
	}
	return &Failure{
		Result: placement.Cancelled, ReachedReplica: true, Step: "write_to_caller", Peer: a.place.Replica.Address,
		Cause: errors.Join(errCallerGone, err),
	}
}
