package forward

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"galenatrestle/internal/placement"
)

// writeGrace is the time after the call's deadline in which the caller may still
// read a finished response.
const writeGrace = 2 * time.Second

// callerResponse writes the response to the caller. It is not safe for concurrent use.
type callerResponse struct {
	w       http.ResponseWriter
	control *http.ResponseController
	codec   Codec
	started bool
	bytes   int64
}

func newCallerResponse(w http.ResponseWriter, codec Codec, c *Call) *callerResponse {
	o := &callerResponse{w: w, control: http.NewResponseController(w), codec: codec}
	// Prevents a caller that does not read from occupying a replica indefinitely.
	// The error is ignored: test writers do not support deadlines.
	_ = o.control.SetWriteDeadline(c.Deadline.Add(writeGrace))
	return o
}

// close removes the write deadline, so that the connection's next request can set
// its own.
func (o *callerResponse) close() { _ = o.control.SetWriteDeadline(time.Time{}) }

func (o *callerResponse) hasStarted() bool { return o.started }

// HopByHopHeaders apply to a single connection and are not forwarded in either
// direction.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// writeHead writes the status and headers of a replica's response. A negative
// length means that it is unknown.
func (o *callerResponse) writeHead(r *http.Response, length int64) {
	o.copyHeader(r.Header)
	if length >= 0 {
		o.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	o.started = true
	o.w.WriteHeader(r.StatusCode)
}

// copyHeader copies all headers except Content-Length and the hop-by-hop ones.
// Headers already set for the caller's connection remain.
func (o *callerResponse) copyHeader(from http.Header) {
	to := o.w.Header()
	for name, values := range from {
		if name != "Content-Length" && !slices.Contains(HopByHopHeaders, name) {
			to[name] = values
		}
	}
}

func (o *callerResponse) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	o.bytes += int64(len(data))
	_, err := o.w.Write(data)
	return err
}

func (o *callerResponse) writeAndFlush(data []byte) error {
	if err := o.write(data); err != nil {
		return err
	}
	return o.control.Flush()
}

func (o *callerResponse) writeComplete(r *http.Response, body []byte) error {
	o.writeHead(r, int64(len(body)))
	return o.write(body)
}

// writeReplicaFailure forwards a replica's error response. A status that callers
// read as "not run" is replaced by 502, because the call did run.
func (o *callerResponse) writeReplicaFailure(f *Failure) {
	header := f.Header.Clone()
	status := f.Status
	if impliesNotRun(status) {
		status = http.StatusBadGateway
		o.codec.RemoveStamp(header)
		header.Del("Retry-After")
	}
	o.copyHeader(header)
	o.w.Header().Set("Content-Length", strconv.Itoa(len(f.Body)))
	o.started = true
	o.w.WriteHeader(status)
	// A write fails only if the caller disconnected, which ends the call anyway.
	_ = o.write(f.Body)
}

// impliesNotRun reports whether callers read the status as "the call did not run".
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// writeNotRun reports to the caller that the call did not run and when to retry.
func (o *callerResponse) writeNotRun(after time.Duration) {
	o.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	o.writeStatus(http.StatusServiceUnavailable)
}

func (o *callerResponse) writeStatus(code int) {
	o.started = true
	o.w.Header().Set("Content-Length", "0")
	o.w.WriteHeader(code)
}

// errCallerGone means that the caller disconnected or a write to it failed.
var errCallerGone = errors.New("the caller has left")

// writeFailure converts an error from writing to the caller to a Failure; nil for nil.
func (a *attempt) writeFailure(err error) *Failure {
	if err == nil {
		return nil
	}
	return &Failure{
		Result: placement.Cancelled, ReachedReplica: true, Step: "write_to_caller", Peer: a.place.Replica.Address,
		Cause: errors.Join(errCallerGone, err),
	}
}
