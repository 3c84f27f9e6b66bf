package forward

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"galenatrestle/internal/placement"
)

// maxForeignResponses is the number of responses to other calls that an attempt
// skips on its connection.
const maxForeignResponses = 2

// receive reads responses until one belongs to this call. A replica may send a
// late second response to an earlier call on the same connection.
func (a *attempt) receive() error {
	c := a.exchange.call
	for range maxForeignResponses + 1 {
		response, err := a.conn.Receive(c.Method)
		if err != nil {
			return err
		}
		a.response = response
		a.headers = a.exchange.forwarder.options.Codec.DecodeResponse(response.Header)
		if a.headers.ID == c.ID || (a.headers.ID == "" && isNotExecuted(response, a.headers)) {
			return nil
		}
		a.gotForeignResponse = true
		if err := discard(response); err != nil {
			return err
		}
	}
	return fmt.Errorf("no response to this call received: the last one is for call %q", a.headers.ID)
}

func isSuccess(r *http.Response) bool {
	return r.StatusCode >= http.StatusOK && r.StatusCode < http.StatusMultipleChoices
}

// isNotExecuted reports whether the replica rejected the request without running
// it. Such a response may lack the call's ID.
func isNotExecuted(r *http.Response, h ResponseHeaders) bool {
	return h.NotExecuted || r.StatusCode == http.StatusMisdirectedRequest
}

// settle returns the failure of an attempt whose head was fetched or failed to; nil: its response is a success.
func (a *attempt) settle(step string, err error) *Failure {
	if err == nil || step == stepReadBody {
		a.recordNotices()
	}
	switch {
	case err != nil:
		return a.failedAt(step, err)
	case isNotExecuted(a.response, a.headers):
		return a.notExecutedFailure()
	case !isSuccess(a.response):
		return a.errorResponse()
	case !a.headers.Stamped || a.headers.Encoded:
		return a.failedAt(stepAnswer, errors.New("response has no replica stamp or has a content encoding"))
	default:
		return nil
	}
}

func (a *attempt) notExecutedFailure() *Failure {
	result := placement.Full
	if a.response.StatusCode == http.StatusMisdirectedRequest {
		result = placement.Replaced
	} else {
		a.recordRefusal()
	}
	return &Failure{
		Result: result, NotRun: true, ReachedReplica: true, Step: stepAnswer, Peer: a.placementAttempt.Replica.Address,
		Cause: fmt.Errorf("replica did not execute the call: status %d", a.response.StatusCode),
	}
}

// recordRefusal logs and counts a refusal by the replica.
func (a *attempt) recordRefusal() {
	f := a.exchange.forwarder
	takenFor := "sound"
	if a.knownBrittle {
		takenFor = "brittle"
	}
	f.metrics.replicaRefusals.WithLabelValues(a.exchange.call.Upstream, takenFor).Inc()
	f.options.Log.Write(&replicaRefused{attempt: a, takenFor: takenFor})
}

func (a *attempt) readErrorBody() error {
	body, complete, err := readBounded(a.response.Body)
	if err == nil && !complete {
		err = errResponseTooLong
	}
	if err != nil {
		return err
	}
	a.errorBody = body
	return a.checkEnd()
}

func (a *attempt) errorResponse() *Failure {
	a.placementAttempt.ErrorReceived(time.Now())
	a.exchange.countRun()
	return &Failure{
		Result: placement.Errored, ReachedReplica: true, Step: stepAnswer, Peer: a.placementAttempt.Replica.Address,
		Status: a.response.StatusCode, Header: a.response.Header, Body: a.errorBody,
	}
}
