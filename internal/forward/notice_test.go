package forward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
)

// answerWith returns a script that answers with the status and the further header lines.
func answerWith(status int, headers string) forwardtest.Script {
	return func(c *forwardtest.Conn) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\n%s: c1\r\n%s: s1\r\n%sContent-Length: 4\r\n\r\ndone",
			status, forwardtest.HeaderID, forwardtest.HeaderStamp, headers)
		return err == nil
	}
}

const (
	leavingHeader = forwardtest.HeaderLeaving + ": 1\r\n"
	refusedHeader = forwardtest.HeaderNotExecuted + ": 1\r\n"
)

// answersOfLeavingReplica are the responses in which a replica may say that it leaves.
var answersOfLeavingReplica = map[string]forwardtest.Script{
	"success": answerWith(http.StatusOK, leavingHeader),
	"failure": answerWith(http.StatusInternalServerError, leavingHeader),
	"refusal": answerWith(http.StatusServiceUnavailable, leavingHeader+refusedHeader),
	"truncated": func(c *forwardtest.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\n%sContent-Length: 9\r\n\r\nhalf", forwardtest.HeaderID, forwardtest.HeaderStamp, leavingHeader)
		return false
	},
}

// Guards against requests to a replica whose answers say that it leaves while its registration
// still says that it is ready.
func TestReplicaThatSaidItLeavesGetsNoFurtherRequest(t *testing.T) {
	for name, script := range answersOfLeavingReplica {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				list := replicas(script, answerOK, answerOK)
				f := forwardtest.NewFleet(t, list...)
				serve(t, f, call(route.Idempotent, 2))
				leaving := firstAsked(list)
				registrations := map[string]func(){
					"still ready": func() { f.SetReplicas(list...) },
					// Registrations expire in an outage of the store, and return after it.
					"expired and back": func() { f.SetReplicas(); f.SetReplicas(list...) },
				}
				for state, register := range registrations {
					register()
					for range 20 {
						// The cost of a failure halves meanwhile.
						time.Sleep(2 * time.Second)
						if _, ending := serve(t, f, call(route.Idempotent, 2)); ending != forward.EndedComplete {
							t.Fatalf("registration %s: ending %s", state, ending)
						}
					}
				}
				if got := len(leaving.Requests()); got != 1 {
					t.Errorf("leaving replica got %d requests, want 1", got)
				}
			})
		})
	}
}

// firstAsked returns the replica that has got requests.
func firstAsked(list []*forwardtest.Replica) *forwardtest.Replica {
	for _, r := range list {
		if len(r.Requests()) > 0 {
			return r
		}
	}
	return nil
}

func TestNoticeOfAnotherProcessAtTheAddressIsIgnored(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(func(c *forwardtest.Conn) bool {
			if c.Number == 1 {
				return answerWith(http.StatusMisdirectedRequest, leavingHeader+forwardtest.HeaderRetryAfter+": 60\r\n")(c)
			}
			return answerOK(c)
		})
		f := forwardtest.NewFleet(t, list...)
		serve(t, f, call(route.Idempotent, 1))
		if _, ending := serve(t, f, call(route.Idempotent, 1)); ending != forward.EndedComplete {
			t.Errorf("ending %s, want the call to be served", ending)
		}
	})
}

// refuseFor returns a script that refuses and asks for a pause.
func refuseFor(seconds string) forwardtest.Script {
	return answerWith(http.StatusServiceUnavailable, refusedHeader+forwardtest.HeaderRetryAfter+": "+seconds+"\r\n")
}

// Guards against requests, first attempts or further ones, to a replica that asked for a pause.
func TestReplicaThatAskedForAPauseGetsNoRequestInIt(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		// The other replicas fail in turn, so that calls need further attempts.
		failOften := func(c *forwardtest.Conn) bool {
			if c.Number%2 == 0 {
				return c.Answer(http.StatusInternalServerError, "no")
			}
			return answerOK(c)
		}
		list := replicas(refuseFor("3"), failOften, failOften)
		f := forwardtest.NewFleet(t, list...)
		serve(t, f, call(route.Idempotent, 3))
		paused := firstAsked(list)
		asked := len(paused.Requests())
		for range 29 {
			time.Sleep(100 * time.Millisecond)
			serve(t, f, call(route.Idempotent, 3))
		}
		if got := len(paused.Requests()); got != asked {
			t.Errorf("replica got %d requests in its pause, want none", got-asked)
		}
		time.Sleep(200 * time.Millisecond)
		for range 40 {
			serve(t, f, call(route.Idempotent, 3))
		}
		if got := len(paused.Requests()); got == asked {
			t.Error("replica got no requests after its pause")
		}
	})
}

// A shorter pause that a later answer asks for does not shorten the one that began before.
func TestLaterRefusalDoesNotShortenAPause(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(func(c *forwardtest.Conn) bool {
			if c.Number == 1 {
				// Both requests are under way before the first answer.
				time.Sleep(50 * time.Millisecond)
				return refuseFor("3")(c)
			}
			time.Sleep(100 * time.Millisecond)
			return refuseFor("0.2")(c)
		})
		f := forwardtest.NewFleet(t, list...)
		go serve(t, f, call(route.AtMostOnce, 1))
		serve(t, f, call(route.AtMostOnce, 1))
		time.Sleep(2 * time.Second)
		serve(t, f, call(route.AtMostOnce, 1))
		if got := requests(list); got != 2 {
			t.Errorf("replica got %d requests, want the 2 that were under way", got)
		}
	})
}

func TestCallerIsToldWhenThePauseOfAllReplicasEnds(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(refuseFor("2"), refuseFor("0.3"))
		f := forwardtest.NewFleet(t, list...)
		for range 2 {
			serve(t, f, call(route.AtMostOnce, 1))
		}
		asked := requests(list)
		w, ending := serve(t, f, call(route.AtMostOnce, 1))
		after, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if ending != forward.EndedRefused || w.Code != http.StatusServiceUnavailable || after <= 0.2 || after > 0.3 {
			t.Errorf("ending %s, status %d, Retry-After %g s; want a refusal with up to 0.3 s", ending, w.Code, after)
		}
		if got := requests(list); got != asked {
			t.Errorf("replicas got %d requests in their pauses, want none", got-asked)
		}
	})
}

// A request that waited for its connection is not sent if the replica asked for a pause meanwhile.
func TestPauseThatBeganWhileConnectingIsKept(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(func(c *forwardtest.Conn) bool {
			time.Sleep(100 * time.Millisecond)
			return refuseFor("3")(c)
		})
		f := forwardtest.NewFleet(t, list...)
		var dials atomic.Int64
		f.OnDial = func(string) {
			if dials.Add(1) == 2 {
				time.Sleep(200 * time.Millisecond)
			}
		}
		waiting := make(chan forward.Ending)
		go func() {
			time.Sleep(time.Millisecond)
			_, ending := serve(t, f, call(route.AtMostOnce, 1))
			waiting <- ending
		}()
		serve(t, f, call(route.AtMostOnce, 1))
		if ending := <-waiting; ending != forward.EndedRefused {
			t.Errorf("ending %s, want refused", ending)
		}
		if got := requests(list); got != 1 {
			t.Errorf("replica got %d requests, want 1", got)
		}
	})
}

// Guards against 502 in place of the answer that a replica gave, where no other one may be asked.
func TestReplicasAnswerIsDeliveredIfNoOtherMayBeAsked(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(answerWith(http.StatusInternalServerError, leavingHeader))
		w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.Idempotent, 2))
		if ending != forward.EndedReplicaFailure || w.Code != http.StatusInternalServerError || w.Body.String() != "done" {
			t.Errorf("ending %s, status %d, body %q; want the replica's answer", ending, w.Code, w.Body)
		}
		if got := requests(list); got != 1 {
			t.Errorf("replica got %d requests, want 1", got)
		}
	})
}
