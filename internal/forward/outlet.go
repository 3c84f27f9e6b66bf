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
	cr := &callerResponse{w: w, control: http.NewResponseController(w), codec: codec}
	// Prevents a caller that does not read from occupying a replica indefinitely.
	// The error is ignored: test writers do not support deadlines.
	_ = cr.control.SetWriteDeadline(c.Deadline.Add(writeGrace))
	return cr
}

// close removes the write deadline, so that the connection's next request can set
// its own.
func (cr *callerResponse) close() { _ = cr.control.SetWriteDeadline(time.Time{}) }

func (cr *callerResponse) hasStarted() bool { return cr.started }

// HopByHopHeaders apply to a single connection and are not forwarded in either
// direction.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// writeHead writes the status and headers of a replica's response. A negative
// length means that it is unknown.
func (cr *callerResponse) writeHead(r *http.Response, length int64) {
	cr.copyHeader(r.Header)
	if length >= 0 {
		cr.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	cr.started = true
	cr.w.WriteHeader(r.StatusCode)
}

// copyHeader copies all headers except Content-Length and the hop-by-hop ones.
// Headers already set on the caller's response remain unless the replica sent the
// same ones.
func (cr *callerResponse) copyHeader(from http.Header) {
	to := cr.w.Header()
	for name, values := range from {
		if name != "Content-Length" && !slices.Contains(HopByHopHeaders, name) {
			to[name] = values
		}
	}
}

func (cr *callerResponse) write(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	cr.bytes += int64(len(data))
	_, err := cr.w.Write(data)
	return err
}

func (cr *callerResponse) writeAndFlush(data []byte) error {
	if err := cr.write(data); err != nil {
		return err
	}
	return cr.control.Flush()
}

func (cr *callerResponse) writeComplete(r *http.Response, body []byte) error {
	cr.writeHead(r, int64(len(body)))
	return cr.write(body)
}

// writeReplicaFailure forwards a replica's error response. A status that callers
// read as "not run" is replaced by 502, because the call did run.
func (cr *callerResponse) writeReplicaFailure(f *Failure) {
	header := f.Header.Clone()
	status := f.Status
	if impliesNotRun(status) {
		status = http.StatusBadGateway
		cr.codec.RemoveStamp(header)
		header.Del("Retry-After")
	}
	cr.copyHeader(header)
	cr.w.Header().Set("Content-Length", strconv.Itoa(len(f.Body)))
	cr.started = true
	cr.w.WriteHeader(status)
	// A write fails only if the caller disconnected, which ends the call anyway.
	_ = cr.write(f.Body)
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
func (cr *callerResponse) writeNotRun(delay time.Duration) {
	cr.w.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', -1, 64))
	cr.writeStatus(http.StatusServiceUnavailable)
}

func (cr *callerResponse) writeStatus(code int) {
	cr.started = true
	cr.w.Header().Set("Content-Length", "0")
	cr.w.WriteHeader(code)
}

// errCallerGone means that the caller disconnected or a write to it failed.
var errCallerGone = errors.New("the caller has left")

// writeFailure converts an error from writing to the caller to a Failure; nil for nil.
func (a *attempt) writeFailure(err error) *Failure {
	if err == nil {
		return nil
	}
	return &Failure{
		Result: placement.Cancelled, ReachedReplica: true, Step: "write_to_caller", Peer: a.placementAttempt.Replica.Address,
		Cause: errors.Join(errCallerGone, err),
	}
}
