package forward

import (
	"bytes"
	"errors"
	"io"
	"time"

	"galenatrestle/internal/route"
)

const (
	// streamBuffer is the first size of the buffer for a stream's events.
	streamBuffer = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

// errEventTooLong says that a stream has an endless event.
var errEventTooLong = errors.New("an event is too long")

// errMidEvent says that a stream ended in the middle of an event.
var errMidEvent = errors.New("the stream ends inside an event")

// passStream passes whole events on as they come.
func (a *attempt) passStream() *Failure {
	buffer := make([]byte, 0, streamBuffer)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := a.response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		end := wholeEvents(buffer)
		if end > 0 {
			if writeErr := a.passEvents(buffer[:end]); writeErr != nil {
				return a.delivered(writeErr)
			}
			buffer = buffer[:copy(buffer, buffer[end:])]
		}
		switch {
		case err == io.EOF && len(buffer) > 0:
			return a.failed(stepBody, errMidEvent)
		case err == io.EOF:
			return a.finishStream()
		case err != nil:
			return a.failed(stepBody, err)
		case len(buffer) > maxEvent:
			return a.failed(stepBody, errEventTooLong)
		}
	}
}

// finishStream ends a whole stream, also one without any event.
func (a *attempt) finishStream() *Failure {
	if a.exchange.outlet.begun() {
		return nil
	}
	return a.delivered(a.exchange.outlet.whole(a.response, nil))
}

// passEvents writes whole events at once and remembers the last one's id.
func (a *attempt) passEvents(events []byte) error {
	e := a.exchange
	if !e.outlet.begun() {
		a.begun()
		e.outlet.start(a.response, -1)
	} else {
		a.place.DataReceived(time.Now())
	}
	e.heard(time.Now())
	a.startSilence(a.pause())
	if err := e.outlet.writeNow(events); err != nil {
		return err
	}
	if id := lastID(events); id != "" {
		e.lastEvent = id
	}
	return nil
}

// heard notes the time of new events of the answer.
func (e *exchange) heard(now time.Time) {
	if !e.lastByte.IsZero() {
		e.longestPause = max(e.longestPause, now.Sub(e.lastByte))
	}
	e.lastByte = now
}

// begun notes the first byte of the answer that counts.
func (a *attempt) begun() {
	now := time.Now()
	a.place.AnswerStarted(now)
	a.exchange.ran()
	if a.exchange.firstByte.IsZero() {
		a.exchange.firstByte = now
	}
}

// wholeEvents is the length of the buffer up to the end of its last whole
// event.
func wholeEvents(buffer []byte) int {
	end := 0
	if i := bytes.LastIndex(buffer, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(buffer, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

// idField begins the line that names an event.
var idField = []byte("id:")

// lastID is the id of the last event that has one; empty: none has.
func lastID(events []byte) string {
	for line := range bytes.Lines(events[lastIDLine(events):]) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// lastIDLine is where the last line begins that names an event.
func lastIDLine(events []byte) int {
	if i := bytes.LastIndex(events, []byte("\nid:")); i >= 0 {
		return i + 1
	}
	return 0
}

// mayResume says whether another replica can go on with the call now.
func (e *exchange) mayResume() bool {
	return e.call.Route.Repeat == route.ResumableStream && e.mayHaveRun+1 < e.call.Route.MaxAttempts
}
