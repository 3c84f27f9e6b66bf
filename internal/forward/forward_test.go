package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/httplimits"
	"galenatrestle/internal/route"
)

const upstream = "ledger"

// call returns a call with a deadline in one second, on a route with the given repeat
// kind and maximum number of attempts.
func call(repeat route.Repeat, attempts int) *forward.Call {
	now := time.Now()
	return &forward.Call{
		CallerHeaders: forward.CallerHeaders{ID: "c1"},
		Route: &route.Route{
			Name: "r", Repeat: repeat, Streaming: repeat == route.ResumableStream, MaxAttempts: attempts,
			Objective: 200 * time.Millisecond, MaxPause: 100 * time.Millisecond,
		},
		Workspace: &route.Workspace{Name: "shop"}, Upstream: upstream,
		Method: http.MethodPost, Target: "/claims/1?part=2", Host: "ledger.example",
		Header: http.Header{forwardtest.HeaderID: {"c1"}}, Body: []byte("body"),
		Arrived: now, Deadline: now.Add(time.Second),
	}
}

func serve(t *testing.T, f *forwardtest.Fleet, c *forward.Call) (*httptest.ResponseRecorder, forward.Ending) {
	t.Helper()
	w := httptest.NewRecorder()
	ending := f.Serve(t.Context(), w, c)
	return w, ending
}

// replicas returns one replica per script. Scripts are assigned in the order in
// which replicas get their first request, so that tests do not depend on placement.
func replicas(scripts ...forwardtest.Script) []*forwardtest.Replica {
	var mu sync.Mutex
	order := make(map[string]int)
	scriptOf := func(id string) forwardtest.Script {
		mu.Lock()
		defer mu.Unlock()
		if _, known := order[id]; !known {
			order[id] = len(order)
		}
		return scripts[order[id]]
	}
	var list []*forwardtest.Replica
	for i := range scripts {
		id := "i-" + strconv.Itoa(i)
		list = append(list, forwardtest.NewReplica(id, upstream, func(c *forwardtest.Conn) bool { return scriptOf(id)(c) }))
	}
	return list
}

func requests(list []*forwardtest.Replica) int {
	total := 0
	for _, r := range list {
		total += len(r.Requests())
	}
	return total
}

func answerOK(c *forwardtest.Conn) bool { return c.Answer(http.StatusOK, "done") }

func closeConnection(*forwardtest.Conn) bool { return false }

func neverAnswer(c *forwardtest.Conn) bool {
	var one [1]byte
	_, _ = c.Read(one[:])
	return false
}

func TestCallAndResponseAreForwardedUnchanged(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(answerOK)
		f := forwardtest.NewFleet(t, list...)
		w, ending := serve(t, f, call(route.AtMostOnce, 1))
		if ending != forward.EndedComplete || w.Code != http.StatusOK || w.Body.String() != "done" || w.Header().Get(forwardtest.HeaderStamp) != "s1" {
			t.Errorf("ending %s, status %d, body %q, header %v", ending, w.Code, w.Body, w.Header())
		}
		got := list[0].Requests()[0]
		if got.Method != http.MethodPost || got.RequestURI != "/claims/1?part=2" || got.Host != "ledger.example" || got.ContentLength != 4 {
			t.Errorf("replica got %s %s for host %s, %d bytes", got.Method, got.RequestURI, got.Host, got.ContentLength)
		}
		if got.Header.Get(forwardtest.HeaderReplica) != "i-0" || got.Header.Get(forwardtest.HeaderWorkspace) != "shop" || got.Header.Get(forwardtest.HeaderRemaining) != "1000" {
			t.Errorf("replica got headers %v", got.Header)
		}
	})
}

// unknownOutcomes are scripts that lose the response of a call that may have run.
var unknownOutcomes = map[string]forwardtest.Script{
	"connection closed without response": closeConnection,
	"malformed response": func(c *forwardtest.Conn) bool {
		fmt.Fprint(c, "\x00\x01garbage\r\n\r\n")
		return false
	},
	"response without the replica's stamp": func(c *forwardtest.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\nContent-Length: 2\r\n\r\nok", forwardtest.HeaderID)
		return true
	},
	"response with a content encoding": func(c *forwardtest.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", forwardtest.HeaderID, forwardtest.HeaderStamp)
		return true
	},
	"truncated response": func(c *forwardtest.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\nContent-Length: 9\r\n\r\nhalf", forwardtest.HeaderID, forwardtest.HeaderStamp)
		return false
	},
	"responses to other calls only": func(c *forwardtest.Conn) bool {
		for range 4 {
			if !c.AnswerFor("other", http.StatusOK, "foreign") {
				return false
			}
		}
		return false
	},
}

func TestOnlyIdempotentCallIsRetriedWhenItMayHaveRun(t *testing.T) {
	for name, script := range unknownOutcomes {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				list := replicas(script, answerOK)
				w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.AtMostOnce, 3))
				if ending != forward.EndedUnknown || w.Code != http.StatusBadGateway || requests(list) != 1 {
					t.Errorf("at most once: ending %s, status %d, %d requests", ending, w.Code, requests(list))
				}
				list = replicas(script, answerOK)
				w, ending = serve(t, forwardtest.NewFleet(t, list...), call(route.Idempotent, 2))
				if ending != forward.EndedComplete || w.Body.String() != "done" || requests(list) != 2 {
					t.Errorf("idempotent: ending %s, body %q, %d requests", ending, w.Body, requests(list))
				}
			})
		})
	}
}

func TestNotRunIsReportedOnlyIfAllReplicasConfirm(t *testing.T) {
	refuse := func(status int) forwardtest.Script {
		return func(c *forwardtest.Conn) bool { return c.Refuse(status) }
	}
	tests := map[string]struct {
		repeat       route.Repeat
		scripts      []forwardtest.Script
		status       int
		wantRequests int
	}{
		"full":                          {route.AtMostOnce, []forwardtest.Script{refuse(503), refuse(503)}, 503, 4},
		"one replica full":              {route.AtMostOnce, []forwardtest.Script{refuse(503), answerOK}, 200, 2},
		"address reused":                {route.AtMostOnce, []forwardtest.Script{refuse(421), answerOK}, 200, 2},
		"may have run, then refused":    {route.Idempotent, []forwardtest.Script{closeConnection, refuse(503)}, 502, 3},
		"refused, then may have run":    {route.AtMostOnce, []forwardtest.Script{refuse(503), closeConnection}, 502, 2},
		"error response of the service": {route.AtMostOnce, []forwardtest.Script{func(c *forwardtest.Conn) bool { return c.Answer(503, "") }}, 502, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				list := replicas(test.scripts...)
				w, _ := serve(t, forwardtest.NewFleet(t, list...), call(test.repeat, 2))
				if w.Code != test.status || requests(list) != test.wantRequests {
					t.Errorf("status %d after %d requests, want %d after %d", w.Code, requests(list), test.status, test.wantRequests)
				}
				if (w.Header().Get("Retry-After") != "") != (test.status == 503) {
					t.Errorf("status %d with Retry-After %q", w.Code, w.Header().Get("Retry-After"))
				}
				if w.Code >= 500 && w.Header().Get(forwardtest.HeaderStamp) != "" {
					t.Error("a response not written by the replica has its stamp")
				}
			})
		})
	}
}

// Guards against calls run by a replica that took over another one's address. Such a
// replica answers 421 once and gets no more calls until it is registered.
func TestReplicaAtReusedAddressRunsNothing(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		ran := make(map[string]int)
		runsFor := func(id string) forwardtest.Script {
			return func(c *forwardtest.Conn) bool {
				if c.Request.Header.Get(forwardtest.HeaderReplica) != id {
					return c.Refuse(http.StatusMisdirectedRequest)
				}
				ran[id]++
				return answerOK(c)
			}
		}
		list := []*forwardtest.Replica{
			forwardtest.NewReplica("i-gone", upstream, runsFor("i-new")),
			forwardtest.NewReplica("i-1", upstream, runsFor("i-1")),
		}
		f := forwardtest.NewFleet(t, list...)
		for range 20 {
			if w, _ := serve(t, f, call(route.AtMostOnce, 1)); w.Code != http.StatusOK {
				t.Errorf("status %d", w.Code)
			}
		}
		if ran["i-new"] != 0 || ran["i-1"] != 20 {
			t.Errorf("runs: %v", ran)
		}
		if received := len(list[0].Requests()); received > 1 {
			t.Errorf("replaced replica got %d requests, want at most 1", received)
		}
	})
}

func TestResponseToEarlierCallIsSkipped(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(func(c *forwardtest.Conn) bool {
			return c.AnswerFor("earlier", http.StatusOK, "not yours") && c.Answer(http.StatusOK, "yours")
		})
		f := forwardtest.NewFleet(t, list...)
		for range 2 {
			if w, _ := serve(t, f, call(route.AtMostOnce, 1)); w.Body.String() != "yours" {
				t.Errorf("the caller got %q", w.Body)
			}
		}
		if list[0].ConnectionCount() != 2 {
			t.Errorf("%d connections, want 2: reused one with a response to another call", list[0].ConnectionCount())
		}
	})
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(answerOK)
		f := forwardtest.NewFleet(t, list...)
		for range 3 {
			serve(t, f, call(route.AtMostOnce, 1))
		}
		if list[0].ConnectionCount() != 1 {
			t.Errorf("%d connections for three sequential calls, want 1", list[0].ConnectionCount())
		}
	})
}

func TestConnectionIsNotReusedIfBodyWasNotRead(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := []*forwardtest.Replica{forwardtest.NewReplica("i-0", upstream, answerOK).NeverReadBodies()}
		f := forwardtest.NewFleet(t, list...)
		callTwiceWithLongBodies(t, f)
		if list[0].ConnectionCount() != 2 {
			t.Errorf("%d connections, want 2: reused one with an unread request body", list[0].ConnectionCount())
		}
	})
}

// Guards against a request sent in the middle of the previous request's body. A
// replica that reads the body after its response may get the next request on the
// same connection or on a new one.
func TestNoRequestFollowsIncompleteBody(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := []*forwardtest.Replica{forwardtest.NewReplica("i-0", upstream, answerOK).ReadBodiesAfterAnswers()}
		f := forwardtest.NewFleet(t, list...)
		callTwiceWithLongBodies(t, f)
		got := list[0].Requests()
		if len(got) != 2 {
			t.Fatalf("got %d requests, want 2", len(got))
		}
		for _, r := range got {
			if r.Method != http.MethodPost || r.ContentLength != longBody {
				t.Errorf("got %s with %d bytes", r.Method, r.ContentLength)
			}
		}
	})
}

// longBody is a body size in bytes that in-memory connections transfer in parts.
const longBody = 64 << 10

func callTwiceWithLongBodies(t *testing.T, f *forwardtest.Fleet) {
	t.Helper()
	for range 2 {
		c := call(route.AtMostOnce, 1)
		c.Body = []byte(strings.Repeat("x", longBody))
		if w, _ := serve(t, f, c); w.Code != http.StatusOK {
			t.Errorf("status %d", w.Code)
		}
	}
}

func TestFirstByteLatencyIsObservedOnlyForStartedResponses(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := forwardtest.NewFleet(t, replicas(answerOK, answerOK)...)
		serve(t, f, call(route.AtMostOnce, 1))
		unresponsive := forwardtest.NewFleet(t, replicas(neverAnswer)...)
		serve(t, unresponsive, call(route.AtMostOnce, 1))
		for name, test := range map[string]struct {
			fleet *forwardtest.Fleet
			want  uint64
		}{"answered": {f, 1}, "silent": {unresponsive, 0}} {
			if got := histogramCount(t, test.fleet, "trestle_first_byte_seconds"); got != test.want {
				t.Errorf("%s: %d first-byte observations, want %d", name, got, test.want)
			}
		}
	})
}

func histogramCount(t *testing.T, f *forwardtest.Fleet, name string) uint64 {
	t.Helper()
	families, err := f.Metrics.Gather()
	if err != nil {
		t.Fatal(err)
	}
	total := uint64(0)
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.GetMetric() {
			total += m.GetHistogram().GetSampleCount()
		}
	}
	return total
}

func TestDeadlineEndsCallImmediately(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(neverAnswer, answerOK)
		began := time.Now()
		w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.AtMostOnce, 2))
		if ending != forward.EndedTimeout || w.Code != http.StatusGatewayTimeout || time.Since(began) != time.Second || requests(list) != 1 {
			t.Errorf("ending %s, status %d after %s, %d requests", ending, w.Code, time.Since(began), requests(list))
		}
	})
}

func TestUnresponsiveReplicaIsAbandonedForRetryableCall(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(neverAnswer, answerOK)
		began := time.Now()
		w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.Idempotent, 2))
		if ending != forward.EndedComplete || w.Body.String() != "done" || time.Since(began) != 200*time.Millisecond {
			t.Errorf("ending %s, body %q after %s", ending, w.Body, time.Since(began))
		}
		if left := list[0].Requests()[0].Header.Get(forwardtest.HeaderRemaining) + list[1].Requests()[0].Header.Get(forwardtest.HeaderRemaining); left != "1000800" && left != "8001000" {
			t.Errorf("replicas got remaining times %s ms, want 1000 and 800", left)
		}
	})
}

func TestUnresponsiveReplicaIsKeptWithoutRetryBudget(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(func(c *forwardtest.Conn) bool {
			time.Sleep(700 * time.Millisecond)
			return c.Answer(http.StatusOK, "done")
		}, closeConnection)
		f := forwardtest.NewFleet(t, list...)
		for f.Budget.Take(time.Now(), upstream) {
		}
		w, ending := serve(t, f, call(route.Idempotent, 2))
		if ending != forward.EndedComplete || w.Body.String() != "done" || requests(list) != 1 {
			t.Errorf("ending %s, body %q after %d requests: abandoned the replica although no retry was allowed", ending, w.Body, requests(list))
		}
	})
}

func TestCallerDisconnectClosesReplicaConnection(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		list := replicas(func(c *forwardtest.Conn) bool {
			neverAnswer(c)
			ended <- time.Now()
			return false
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		began := time.Now()
		ending := forwardtest.NewFleet(t, list...).Serve(ctx, httptest.NewRecorder(), call(route.AtMostOnce, 1))
		if at := <-ended; ending != forward.EndedCallerGone || at.Sub(began) != 100*time.Millisecond {
			t.Errorf("ending %s, replica connection closed after %s", ending, at.Sub(began))
		}
	})
}

func TestReplicaRemovedDuringConnectGetsNoRequest(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(answerOK, answerOK)
		f := forwardtest.NewFleet(t, list...)
		var gone string
		f.OnDial = func(address string) {
			if gone != "" {
				return
			}
			gone = address
			for _, r := range list {
				if r.Address != address {
					f.SetReplicas(r)
				}
			}
		}
		w, _ := serve(t, f, call(route.AtMostOnce, 1))
		if w.Code != http.StatusOK {
			t.Fatalf("status %d", w.Code)
		}
		for _, r := range list {
			if r.Address == gone && len(r.Requests()) > 0 {
				t.Errorf("%s got a call after its removal", gone)
			}
		}
	})
}

func TestRetriesStopWhenBudgetIsSpent(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(closeConnection, closeConnection)
		f := forwardtest.NewFleet(t, list...)
		const calls = 100
		for range calls {
			serve(t, f, call(route.Idempotent, 2))
		}
		retries := requests(list) - calls
		if limit := int(0.75 * (0.2*calls + 40)); retries > limit || retries < limit-1 {
			t.Errorf("%d retries for %d calls, want about %d", retries, calls, limit)
		}
	})
}

func TestCallWithoutReplicasIsRefused(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		w, ending := serve(t, forwardtest.NewFleet(t), call(route.AtMostOnce, 1))
		if ending != forward.EndedRefused || w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("ending %s, status %d, header %v", ending, w.Code, w.Header())
		}
	})
}

func TestCallThatCrashesReplicasIsQuarantined(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		var list []*forwardtest.Replica
		for i := range 6 {
			var r *forwardtest.Replica
			r = forwardtest.NewReplica("i-"+strconv.Itoa(i), upstream, func(*forwardtest.Conn) bool {
				r.Crash()
				return false
			})
			list = append(list, r)
		}
		f := forwardtest.NewFleet(t, list...)
		for range 5 {
			serve(t, f, call(route.AtMostOnce, 1))
			synctest.Wait()
		}
		w, ending := serve(t, f, call(route.AtMostOnce, 1))
		if ending != forward.EndedQuarantined || w.Code != http.StatusServiceUnavailable || requests(list) > 3 {
			t.Errorf("ending %s, status %d after %d replicas", ending, w.Code, requests(list))
		}
	})
}

// Guards against nodes that run out of memory because a replica sends bytes that are no response and never end.
func TestReplicaWhoseResponseHasNoEndIsGivenUp(t *testing.T) {
	const sentBytes = 1 << 20
	for name, test := range map[string]struct {
		repeat         route.Repeat
		status, ending any
	}{
		"may be repeated":     {route.Idempotent, http.StatusOK, forward.EndedComplete},
		"may not be repeated": {route.AtMostOnce, http.StatusBadGateway, forward.EndedUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				taken := 0
				list := replicas(func(c *forwardtest.Conn) bool {
					taken, _ = io.WriteString(c, strings.Repeat("x", sentBytes))
					return false
				}, answerOK)
				w, ending := serve(t, forwardtest.NewFleet(t, list...), call(test.repeat, 2))
				if w.Code != test.status || ending != test.ending {
					t.Errorf("status %d, ending %s, want %v, %v", w.Code, ending, test.status, test.ending)
				}
				if synctest.Wait(); taken > 2*httplimits.HeadBytes {
					t.Errorf("%d of %d bytes were taken", taken, sentBytes)
				}
			})
		})
	}
}

// Guards against calls in progress that end with a closed connection when the process ends.
func TestCallsInProgressAreAnsweredBeforeTheProcessEnds(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(neverAnswer)
		f := forwardtest.NewFleet(t, list...)
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, f.Forwarder.EndCalls)
		w, ending := serve(t, f, call(route.AtMostOnce, 1))
		if w.Code != http.StatusGatewayTimeout || ending != forward.EndedTimeout || time.Since(began) != 100*time.Millisecond {
			t.Errorf("sent call: status %d, ending %s after %s, want 504 after 100ms", w.Code, ending, time.Since(began))
		}
		w, ending = serve(t, f, call(route.Idempotent, 2))
		if w.Code != http.StatusServiceUnavailable || ending != forward.EndedRefused || requests(list) != 1 {
			t.Errorf("later call: status %d, ending %s, %d requests, want 503 and none further", w.Code, ending, requests(list))
		}
	})
}

// Guards against answers of replicas in trouble that are not HTTP and reach callers: what followed a status below 100 was
// taken for the next head, and a field with a blank in its name was dropped or left the body without its length.
func TestAnswerWhoseHeadIsNotHTTPReachesNoCaller(t *testing.T) {
	const fields = forwardtest.HeaderID + ": c1\r\n" + forwardtest.HeaderStamp + ": s1\r\n"
	for name, raw := range map[string]string{
		"status 000":                    "HTTP/1.1 000 Status\r\n" + fields + "Content-Length: 90\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nother",
		"status 099":                    "HTTP/1.1 099 Status\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nother",
		"another protocol":              "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n" + fields + "\r\nother",
		"version 2":                     "HTTP/2.0 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nother",
		"blank in a name":               "HTTP/1.1 200 OK\r\n" + fields + "X Fill: a\r\nContent-Length: 5\r\n\r\nother",
		"blank after the length's name": "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 9\r\n\r\nother",
		"blank after the coding's name": "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding : chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
		"blank before a name":           "HTTP/1.1 200 OK\r\n" + fields + " X-Fill: a\r\nContent-Length: 5\r\n\r\nother",
		"control byte in a name":        "HTTP/1.1 200 OK\r\n" + fields + "X\x01Fill: a\r\nContent-Length: 5\r\n\r\nother",
		"failure with a blank":          "HTTP/1.1 500 Failed\r\n" + fields + "X Fill: a\r\nContent-Length: 5\r\n\r\nother",
		"interim answer with a blank":   "HTTP/1.1 103 Early Hints\r\nX Fill: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nother",
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				inTrouble := func(c *forwardtest.Conn) bool {
					_, _ = io.WriteString(c, raw)
					return false
				}
				w, ending := serve(t, forwardtest.NewFleet(t, replicas(inTrouble, answerOK)...), call(route.Idempotent, 2))
				if ending != forward.EndedComplete || w.Body.String() != "done" {
					t.Errorf("repeatable call: ending %s, status %d, body %q", ending, w.Code, w.Body)
				}
				w, ending = serve(t, forwardtest.NewFleet(t, replicas(inTrouble)...), call(route.AtMostOnce, 2))
				if ending != forward.EndedUnknown || w.Code != http.StatusBadGateway || w.Body.Len() > 0 {
					t.Errorf("unrepeatable call: ending %s, status %d, body %q", ending, w.Code, w.Body)
				}
			})
		})
	}
}
