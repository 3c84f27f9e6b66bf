package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
)

// A long body that took longer than the wait for its first byte was cut.
func TestLongBodyMayTakeLongerThanTheFirstByte(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		const part = 100 << 10
		list := replicas(func(c *forwardtest.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\nContent-Length: %d\r\n\r\n", forwardtest.HeaderID, forwardtest.HeaderStamp, 5*part)
			for range 5 {
				time.Sleep(60 * time.Millisecond)
				if _, err := c.Write([]byte(strings.Repeat("x", part))); err != nil {
					return false
				}
			}
			return true
		}, func(c *forwardtest.Conn) bool { return c.Refuse(http.StatusServiceUnavailable) })
		w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.Idempotent, 2))
		if ending != forward.EndedComplete || w.Body.Len() != 5*part {
			t.Errorf("ending %s, %d bytes", ending, w.Body.Len())
		}
	})
}

// earlyAnswer returns a script that writes a response that ends with its connection, before it has read the request's body.
func earlyAnswer(status int, body string, readsOn bool) forwardtest.Script {
	return func(c *forwardtest.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d Status\r\n%s: c1\r\n%s: s1\r\n\r\n%s", status, forwardtest.HeaderID, forwardtest.HeaderStamp, body)
		if readsOn {
			_, _ = io.Copy(io.Discard, c.Request.Body)
		}
		return false
	}
}

// Guards against a part of an answer that looks complete: its connection was reset while the request was still being written, and
// the write got the error in place of the read.
func TestAnswerCutWhileTheRequestIsSentIsNotComplete(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for name, test := range map[string]struct {
		first, second forwardtest.Script
		repeat        route.Repeat
		ending        forward.Ending
		body          string
	}{
		"body":               {earlyAnswer(http.StatusOK, "part", false), answerOK, route.Idempotent, forward.EndedComplete, "done"},
		"body, not repeated": {earlyAnswer(http.StatusOK, "part", false), answerOK, route.AtMostOnce, forward.EndedUnknown, ""},
		"long body":          {earlyAnswer(http.StatusOK, long, false), answerOK, route.Idempotent, forward.EndedBroken, long},
		"failure":            {earlyAnswer(http.StatusInternalServerError, "part", false), answerOK, route.AtMostOnce, forward.EndedUnknown, ""},
		"stream":             {earlyAnswer(http.StatusOK, event1, false), stream(event2), route.ResumableStream, forward.EndedComplete, event1 + event2},
		"body, read on":      {earlyAnswer(http.StatusOK, "whole", true), refuse, route.AtMostOnce, forward.EndedComplete, "whole"},
		"long body, read on": {earlyAnswer(http.StatusOK, long, true), refuse, route.AtMostOnce, forward.EndedComplete, long},
		"failure, read on":   {earlyAnswer(http.StatusInternalServerError, "whole", true), refuse, route.AtMostOnce, forward.EndedReplicaFailure, "whole"},
		"stream, read on":    {earlyAnswer(http.StatusOK, event1, true), refuse, route.ResumableStream, forward.EndedComplete, event1},
	} {
		t.Run(name, func(t *testing.T) {
			runSilent(t, func(t *testing.T) {
				list := replicas(test.first, test.second)
				for _, r := range list {
					r.NeverReadBodies()
				}
				c := call(test.repeat, 2)
				now := time.Now()
				c.Arrived, c.Deadline, c.Body = now, now.Add(time.Second), []byte(strings.Repeat("x", longBody))
				w, ending := serve(t, forwardtest.NewFleet(t, list...), c)
				if ending != test.ending || w.Body.String() != test.body {
					t.Errorf("ending %s, status %d, body of %d bytes %.40q", ending, w.Code, w.Body.Len(), w.Body)
				}
			})
		})
	}
}
