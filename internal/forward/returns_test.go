package forward_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/returns"
	"galenatrestle/internal/route"
)

// newReturning returns a node that schedules returns, and a function that sets how many calls other nodes run
// at its only replica, of four slots.
func newReturning(t *testing.T, script forwardtest.Script) (*forwardtest.Fleet, *forwardtest.Replica, func(running int)) {
	list := replicas(script)
	list[0].Slots = 4
	t.Cleanup(list[0].Crash)
	var placer *placement.Placer
	f := forwardtest.NewNodeWith("test", func(o *forward.Options) {
		placer = o.Placer
		placer.SetServiceAdmission(placement.ServiceAdmission{ShortQueue: 2})
		o.Returns = forward.NewReturns(returns.NewController(rand.New(rand.NewPCG(1, 1))), o.Registry)
	}, list...)
	return f, list[0], func(running int) {
		placer.SetPeerLoads("other", []placement.Load{{Replica: list[0].ID, Running: running}}, false, 1, time.Now())
	}
}

// bodied returns a call with its own body.
func bodied(repeat route.Repeat, body string) *forward.Call {
	c := call(repeat, 1)
	c.Body = []byte(body)
	return c
}

// Guards against a caller that returns as it was told, and competes with newcomers for the same capacity.
func TestCallerThatReturnsAsToldGoesBeforeNewcomers(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f, _, setRunning := newReturning(t, func(c *forwardtest.Conn) bool {
			time.Sleep(30 * time.Millisecond)
			return answerOK(c)
		})
		for i := range 5 {
			serve(t, f, bodied(route.AtMostOnce, fmt.Sprint("warm-up ", i)))
		}
		setRunning(60)
		w, ending := serve(t, f, bodied(route.AtMostOnce, "refused"))
		after, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if ending != forward.EndedRefused || w.Code != http.StatusServiceUnavailable || after <= 0 || after > 1.0/3 {
			t.Fatalf("ending %s, status %d, Retry-After %g s with a deadline of 1 s", ending, w.Code, after)
		}
		time.Sleep(time.Duration(after * float64(time.Second)))
		setRunning(30)
		if _, ending := serve(t, f, bodied(route.AtMostOnce, "newcomer")); ending != forward.EndedRefused {
			t.Errorf("newcomer: ending %s", ending)
		}
		if _, ending := serve(t, f, bodied(route.AtMostOnce, "refused")); ending != forward.EndedComplete {
			t.Errorf("caller that returned as told: ending %s", ending)
		}
	})
}

// Guards against a repeat that takes a second place while the first call is in progress, and against a refusal
// of calls that may run twice, that differ, or that resume a stream.
func TestRepeatOfACallInProgressIsRefusedAsNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		repeat  route.Repeat
		change  func(*forward.Call)
		refused bool
	}{
		"at most once": {route.AtMostOnce, func(*forward.Call) {}, true},
		"stream":       {route.ResumableStream, func(*forward.Call) {}, true},
		"idempotent":   {route.Idempotent, func(*forward.Call) {}, false},
		"other body":   {route.AtMostOnce, func(c *forward.Call) { c.Body = []byte("other") }, false},
		"resumed":      {route.ResumableStream, func(c *forward.Call) { c.LastEventID = "3" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				f, replica, _ := newReturning(t, func(c *forwardtest.Conn) bool {
					time.Sleep(100 * time.Millisecond)
					return answerOK(c)
				})
				var first sync.WaitGroup
				first.Go(func() { f.Serve(t.Context(), httptest.NewRecorder(), bodied(test.repeat, "body")) })
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
				c := bodied(test.repeat, "body")
				test.change(c)
				w, ending := serve(t, f, c)
				first.Wait()
				refused := ending == forward.EndedRefused && w.Code == http.StatusServiceUnavailable && w.Header().Get("Retry-After") != ""
				if refused != test.refused || refused == (len(replica.Requests()) > 1) {
					t.Errorf("ending %s, status %d, %d requests at the replica", ending, w.Code, len(replica.Requests()))
				}
				if _, ending := serve(t, f, bodied(test.repeat, "body")); ending == forward.EndedRefused {
					t.Error("the call is refused after the first one has ended")
				}
			})
		})
	}
}
