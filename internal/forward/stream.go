package forward

import (
	"bytes"
	"errors"
	"io"
	"time"

	"galenatrestle/internal/route"
)

const (
	// Sizes in bytes.
	initialStreamBuffer = 4 << 10
	maxEventSize        = 1 << 20
)

var errEventTooLong = errors.New("stream event is too long")

var errMidEvent = errors.New("stream ended inside an event")

// forwardStream forwards complete events as they arrive. Partial events are held
// back, so that a resumed stream continues at an event boundary.
func (a *attempt) forwardStream() *Failure {
	buffer := make([]byte, 0, initialStreamBuffer)
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := a.response.Body.Read(buffer[len(buffer):cap(buffer)])
		if errors.Is(err, errSuperseded) {
			// The other replica goes on after the last forwarded event: it sends what was read here as well.
			return a.failedAt(stepReadBody, err)
		}
		buffer = buffer[:len(buffer)+n]
		end := completeEventsLen(buffer)
		if end > 0 {
			if writeErr := a.forwardEvents(buffer[:end]); writeErr != nil {
				return a.writeFailure(writeErr)
			}
			buffer = buffer[:copy(buffer, buffer[end:])]
		}
		switch {
		case err == io.EOF && len(buffer) > 0:
			return a.failedAt(stepReadBody, errMidEvent)
		case err == io.EOF:
			if err := a.checkEnd(); err != nil {
				return a.failedAt(stepReadBody, err)
			}
			return a.finishStream()
		case err != nil:
			return a.failedAt(stepReadBody, err)
		case len(buffer) > maxEventSize:
			return a.failedAt(stepReadBody, errEventTooLong)
		}
	}
}

func (a *attempt) finishStream() *Failure {
	if a.exchange.callerResponse.hasStarted() {
		return nil
	}
	return a.writeFailure(a.exchange.callerResponse.writeComplete(a.response, nil))
}

// forwardEvents writes complete events, flushes them and records the last event ID.
func (a *attempt) forwardEvents(events []byte) error {
	e := a.exchange
	e.endHedges()
	a.recordVersion()
	a.placementAttempt.CountAnswer(len(events))
	if !e.callerResponse.hasStarted() {
		a.recordFirstByte()
		e.callerResponse.writeHead(a.response, -1)
	} else {
		a.placementAttempt.DataReceived(time.Now())
	}
	a.recordProgress(time.Now())
	e.recordEvents(time.Now())
	a.watchSilence(a.silenceTimeout())
	if err := e.callerResponse.writeAndFlush(events); err != nil {
		return err
	}
	if id := parseLastEventID(events); id != "" {
		e.lastEventID = id
	}
	return nil
}

// soundAfter is how long an answer goes on from its first events until it is clear that the call does not crash
// the replica.
const soundAfter = 100 * time.Millisecond

// recordProgress tells the crash guard once that the answer has gone on for a while.
func (a *attempt) recordProgress(now time.Time) {
	if a.firstEventsAt.IsZero() {
		a.firstEventsAt = now
	}
	if !a.isSound && now.Sub(a.firstEventsAt) >= soundAfter {
		a.isSound = true
		a.exchange.forwarder.options.CrashGuard.sound(a.guardedRun, a.exchange)
	}
}

func (e *exchange) recordEvents(now time.Time) {
	if !e.lastEventsAt.IsZero() {
		e.longestPause = max(e.longestPause, now.Sub(e.lastEventsAt))
	}
	e.lastEventsAt = now
}

func (a *attempt) recordFirstByte() {
	now := time.Now()
	a.placementAttempt.AnswerStarted(now)
	a.exchange.countRun()
	if a.exchange.firstByteAt.IsZero() {
		a.exchange.firstByteAt = now
	}
}

// completeEventsLen returns the length of the buffer up to the end of its last
// complete event.
func completeEventsLen(buffer []byte) int {
	end := 0
	if i := bytes.LastIndex(buffer, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(buffer, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}

var idField = []byte("id:")

// parseLastEventID returns the ID of the last event that has one, empty if none has.
func parseLastEventID(events []byte) string {
	for line := range bytes.Lines(events[lastIDLineStart(events):]) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}

// lastIDLineStart returns the offset of the last line with an event ID, or 0.
func lastIDLineStart(events []byte) int {
	if i := bytes.LastIndex(events, []byte("\nid:")); i >= 0 {
		return i + 1
	}
	return 0
}

// mayResume reports whether another replica may resume the stream.
func (e *exchange) mayResume() bool {
	return e.call.Route.Repeat == route.ResumableStream && e.runs() < e.call.Route.MaxAttempts
}
