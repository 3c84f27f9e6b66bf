package forward

import (
	"errors"
	"io"
	"net/http"
)

// maxBufferedBody is the limit in bytes up to which a response body is read
// completely before it is forwarded, so that a truncated one can be retried.
const maxBufferedBody = 256 << 10

// errResponseTooLong means that a response that must be read completely exceeds
// maxBufferedBody.
var errResponseTooLong = errors.New("response body is too long")

// readBounded reads up to maxBufferedBody bytes and reports whether the body ended
// before that limit.
func readBounded(r io.Reader) ([]byte, bool, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxBufferedBody))
	return body, len(body) < maxBufferedBody, err
}

func discard(r *http.Response) error {
	_, complete, err := readBounded(r.Body)
	if err == nil && !complete {
		err = errResponseTooLong
	}
	return err
}

func (a *attempt) forwardBody() *Failure {
	body, complete, err := readBounded(a.response.Body)
	if err != nil {
		return a.failedAt(stepReadBody, err)
	}
	if complete {
		if err := a.checkEnd(); err != nil {
			return a.failedAt(stepReadBody, err)
		}
	}
	a.exchange.endHedges()
	a.recordFirstByte()
	a.placementAttempt.CountAnswer(len(body))
	if complete {
		return a.writeFailure(a.exchange.callerResponse.writeComplete(a.response, body))
	}
	return a.forwardLongBody(body)
}

// forwardLongBody forwards start and then the rest of the body as it arrives.
func (a *attempt) forwardLongBody(start []byte) *Failure {
	out := a.exchange.callerResponse
	out.writeHead(a.response, a.response.ContentLength)
	a.watchSilence(a.silenceTimeout())
	if err := out.write(start); err != nil {
		return a.writeFailure(err)
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := a.response.Body.Read(buffer)
		a.placementAttempt.CountAnswer(n)
		if writeErr := out.write(buffer[:n]); writeErr != nil {
			return a.writeFailure(writeErr)
		}
		if err == io.EOF {
			if err = a.checkEnd(); err == nil {
				return nil
			}
		}
		if err != nil {
			return a.failedAt(stepReadBody, err)
		}
	}
}
