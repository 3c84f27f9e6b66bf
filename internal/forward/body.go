package forward

import (
	"errors"
	"io"
	"net/http"
)

// maxWhole is the longest body that is read whole before it is passed on, so
// that one that breaks off can be repeated.
const maxWhole = 256 << 10

// errAnswerTooLong says that a replica's failure has an endless body.
var errAnswerTooLong = errors.New("the body is too long")

// readBounded reads a body up to maxWhole bytes, and says whether it ended there.
func readBounded(r io.Reader) ([]byte, bool, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxWhole))
	return body, len(body) < maxWhole, err
}

// discard reads an answer to its end without using it.
func discard(r *http.Response) error {
	_, whole, err := readBounded(r.Body)
	if err == nil && !whole {
		err = errAnswerTooLong
	}
	return err
}

// passWhole passes an answer on that is not a stream.
func (a *attempt) passWhole() *Failure {
	body, whole, err := readBounded(a.response.Body)
	if err != nil {
		return a.failed(stepBody, err)
	}
	a.begun()
	if whole {
		return a.delivered(a.exchange.outlet.whole(a.response, body))
	}
	return a.passLong(body)
}

// passLong passes the rest of a long body on as it comes.
func (a *attempt) passLong(start []byte) *Failure {
	out := a.exchange.outlet
	out.start(a.response, a.response.ContentLength)
	if err := out.write(start); err != nil {
		return a.delivered(err)
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := a.response.Body.Read(buffer)
		if writeErr := out.write(buffer[:n]); writeErr != nil {
			return a.delivered(writeErr)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return a.failed(stepBody, err)
		}
	}
}
