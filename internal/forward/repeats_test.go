package forward_test

import (
	"net/http"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
)

// failOnce answers the first request with an error and the others with a result.
func failOnce(c *forwardtest.Conn) bool {
	if c.Number == 1 {
		return c.Answer(http.StatusInternalServerError, "error")
	}
	return answerOK(c)
}

func failAlways(c *forwardtest.Conn) bool { return c.Answer(http.StatusInternalServerError, "error") }

func rejectSecond(c *forwardtest.Conn) bool { return c.Answer(http.StatusNotFound, "none") }

// Guards against look-ups that end with the error of the second of two replicas although there is time left,
// and against a repeat on a third replica, a second repeat or one of a call that must not run again.
func TestCallThatTwoReplicasAnsweredWithErrorsIsRepeatedOnceAtTheFirst(t *testing.T) {
	for name, test := range map[string]struct {
		repeat  route.Repeat
		scripts []forwardtest.Script
		off     bool
		left    time.Duration
		status  int
		tries   int
	}{
		"errors of two":      {route.Idempotent, []forwardtest.Script{failOnce, failAlways, answerOK}, false, time.Second, 200, 3},
		"a third error":      {route.Idempotent, []forwardtest.Script{failAlways, failAlways, answerOK}, false, time.Second, 500, 3},
		"at most once":       {route.AtMostOnce, []forwardtest.Script{failOnce, failAlways, answerOK}, false, time.Second, 500, 1},
		"rejected":           {route.Idempotent, []forwardtest.Script{failOnce, rejectSecond, answerOK}, false, time.Second, 404, 2},
		"no time left":       {route.Idempotent, []forwardtest.Script{failOnce, failAlways, answerOK}, false, 150 * time.Millisecond, 500, 2},
		"one replica":        {route.Idempotent, []forwardtest.Script{failAlways}, false, time.Second, 500, 2},
		"without the option": {route.Idempotent, []forwardtest.Script{failOnce, failAlways, answerOK}, true, time.Second, 500, 2},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				list := replicas(test.scripts...)
				f := forwardtest.NewNodeWith("test", func(o *forward.Options) { o.RepeatErrored = !test.off }, list...)
				for _, r := range list {
					t.Cleanup(r.Crash)
				}
				c := call(test.repeat, 2)
				c.Deadline = c.Arrived.Add(test.left)
				w, _ := serve(t, f, c)
				ran := 0
				for _, r := range list {
					ran += min(len(r.Requests()), 1)
				}
				if w.Code != test.status || requests(list) != test.tries || ran > 2 {
					t.Errorf("status %d after %d attempts at %d replicas, want %d after %d", w.Code, requests(list), ran, test.status, test.tries)
				}
			})
		})
	}
}
