package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
)

const upstream = "ledger"

// call returns a call of the kind, with a deadline in a second.
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

// serve takes the call to its end.
func serve(t *testing.T, f *forwardtest.Fleet, c *forward.Call) (*httptest.ResponseRecorder, forward.Ending) {
	t.Helper()
	w := httptest.NewRecorder()
	ending := f.Serve(t.Context(), w, c)
	return w, ending
}

// replicas returns two replicas that follow scripts in the order in which they
// get their first request, whichever the choice falls on.
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

// requests is the number of requests that all replicas got.
func requests(list []*forwardtest.Replica) int {
	total := 0
	for _, r := range list {
		total += len(r.Requests())
	}
	return total
}

func answerOK(c *forwardtest.Conn) bool { return c.Answer(http.StatusOK, "done") }

func hangUp(*forwardtest.Conn) bool { return false }

func hang(c *forwardtest.Conn) bool {
	var one [1]byte
	_, _ = c.Read(one[:])
	return false
}

func TestACallIsPassedOnUnchangedAndItsAnswerWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := replicas(answerOK)
		f := forwardtest.NewFleet(t, list...)
		w, ending := serve(t, f, call(route.AtMostOnce, 1))
		if ending != forward.EndedComplete || w.Code != http.StatusOK || w.Body.String() != "done" || w.Header().Get(forwardtest.HeaderStamp) != "s1" {
			t.Errorf("ending %s, status %d, body %q, header %v", ending, w.Code, w.Body, w.Header())
		}
		got := list[0].Requests()[0]
		if got.Method != http.MethodPost || got.RequestURI != "/claims/1?part=2" || got.Host != "ledger.example" || got.ContentLength != 4 {
			t.Errorf("the replica got %s %s for %s, %d bytes", got.Method, got.RequestURI, got.Host, got.ContentLength)
		}
		if got.Header.Get(forwardtest.HeaderReplica) != "i-0" || got.Header.Get(forwardtest.HeaderWorkspace) != "shop" || got.Header.Get(forwardtest.HeaderRemaining) != "1000" {
			t.Errorf("the replica was told %v", got.Header)
		}
	})
}

// lost is a way in which an answer does not arrive though the call may have run.
var lost = map[string]forwardtest.Script{
	"connection closed without an answer": hangUp,
	"no answer in the protocol": func(c *forwardtest.Conn) bool {
		fmt.Fprint(c, "\x00\x01garbage\r\n\r\n")
		return false
	},
	"answer without the replica's stamp": func(c *forwardtest.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\nContent-Length: 2\r\n\r\nok", forwardtest.HeaderID)
		return true
	},
	"answer in an encoding": func(c *forwardtest.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", forwardtest.HeaderID, forwardtest.HeaderStamp)
		return true
	},
	"answer that breaks off": func(c *forwardtest.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\nContent-Length: 9\r\n\r\nhalf", forwardtest.HeaderID, forwardtest.HeaderStamp)
		return false
	},
	"answers to other calls only": func(c *forwardtest.Conn) bool {
		for range 4 {
			if !c.AnswerFor("other", http.StatusOK, "foreign") {
				return false
			}
		}
		return false
	},
}

func TestACallThatMayHaveRunIsNotRepeatedUnlessIdempotent(t *testing.T) {
	for name, script := range lost {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
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

func TestNotRunIsToldOnlyWhereEveryReplicaSaysSo(t *testing.T) {
	refuse := func(status int) forwardtest.Script {
		return func(c *forwardtest.Conn) bool { return c.Refuse(status) }
	}
	tests := map[string]struct {
		repeat  route.Repeat
		scripts []forwardtest.Script
		status  int
		asked   int
	}{
		"full":                      {route.AtMostOnce, []forwardtest.Script{refuse(503), refuse(503)}, 503, 4},
		"another replica answers":   {route.AtMostOnce, []forwardtest.Script{refuse(503), answerOK}, 200, 2},
		"address of another one":    {route.AtMostOnce, []forwardtest.Script{refuse(421), answerOK}, 200, 2},
		"one of them may have run":  {route.Idempotent, []forwardtest.Script{hangUp, refuse(503)}, 502, 3},
		"refused, then it is lost":  {route.AtMostOnce, []forwardtest.Script{refuse(503), hangUp}, 502, 2},
		"the service's own failure": {route.AtMostOnce, []forwardtest.Script{func(c *forwardtest.Conn) bool { return c.Answer(503, "") }}, 502, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := replicas(test.scripts...)
				w, _ := serve(t, forwardtest.NewFleet(t, list...), call(test.repeat, 2))
				if w.Code != test.status || requests(list) != test.asked {
					t.Errorf("status %d after %d requests, want %d after %d", w.Code, requests(list), test.status, test.asked)
				}
				if (w.Header().Get("Retry-After") != "") != (test.status == 503) {
					t.Errorf("status %d with Retry-After %q", w.Code, w.Header().Get("Retry-After"))
				}
				if w.Code >= 500 && w.Header().Get(forwardtest.HeaderStamp) != "" {
					t.Error("a failure that is not the replica's bears its stamp")
				}
			})
		})
	}
}

// A replica that took over another's address is asked for the one that had it,
// says so, and is not asked again before the list of replicas names it.
func TestAReusedAddressRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
		if asked := len(list[0].Requests()); asked > 1 {
			t.Errorf("the replaced replica was asked %d times", asked)
		}
	})
}

func TestALateSecondAnswerIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
			t.Errorf("%d connections: one with foreign answers was used again", list[0].ConnectionCount())
		}
	})
}

func TestAConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := replicas(answerOK)
		f := forwardtest.NewFleet(t, list...)
		for range 3 {
			serve(t, f, call(route.AtMostOnce, 1))
		}
		if list[0].ConnectionCount() != 1 {
			t.Errorf("%d connections for three calls in turn", list[0].ConnectionCount())
		}
	})
}

func TestAnAnswerBeforeTheBodyIsReadEndsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []*forwardtest.Replica{forwardtest.NewReplica("i-0", upstream, answerOK).NeverReadBodies()}
		f := forwardtest.NewFleet(t, list...)
		callTwiceWithLongBodies(t, f)
		if list[0].ConnectionCount() != 2 {
			t.Errorf("%d connections: a request followed the rest of another one's body", list[0].ConnectionCount())
		}
	})
}

// A replica that reads the body after its answer may get the next request on
// the same connection or on another, but never within a body.
func TestNoRequestFollowsABodyThatIsNotWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := []*forwardtest.Replica{forwardtest.NewReplica("i-0", upstream, answerOK).ReadBodiesAfterAnswers()}
		f := forwardtest.NewFleet(t, list...)
		callTwiceWithLongBodies(t, f)
		got := list[0].Requests()
		if len(got) != 2 {
			t.Fatalf("%d requests came, of two", len(got))
		}
		for _, r := range got {
			if r.Method != http.MethodPost || r.ContentLength != longBody {
				t.Errorf("came: %s with %d bytes", r.Method, r.ContentLength)
			}
		}
	})
}

// longBody is a body in bytes that the in-memory connections take in parts.
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

func TestTheFirstBytesTimeIsObservedOfAnswersThatBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := forwardtest.NewFleet(t, replicas(answerOK, answerOK)...)
		serve(t, f, call(route.AtMostOnce, 1))
		silent := forwardtest.NewFleet(t, replicas(hang)...)
		serve(t, silent, call(route.AtMostOnce, 1))
		for name, test := range map[string]struct {
			fleet *forwardtest.Fleet
			want  uint64
		}{"answered": {f, 1}, "silent": {silent, 0}} {
			if got := observed(t, test.fleet, "trestle_first_byte_seconds"); got != test.want {
				t.Errorf("%s: %d first bytes observed, want %d", name, got, test.want)
			}
		}
	})
}

// observed is the number of observations of the fleet's histogram.
func observed(t *testing.T, f *forwardtest.Fleet, name string) uint64 {
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

func TestTheDeadlineEndsACallAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := replicas(hang, answerOK)
		began := time.Now()
		w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.AtMostOnce, 2))
		if ending != forward.EndedTimeout || w.Code != http.StatusGatewayTimeout || time.Since(began) != time.Second || requests(list) != 1 {
			t.Errorf("ending %s, status %d after %s, %d requests", ending, w.Code, time.Since(began), requests(list))
		}
	})
}

func TestASilentReplicaIsLeftOnlyByACallThatMayRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := replicas(hang, answerOK)
		began := time.Now()
		w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.Idempotent, 2))
		if ending != forward.EndedComplete || w.Body.String() != "done" || time.Since(began) != 200*time.Millisecond {
			t.Errorf("ending %s, body %q after %s", ending, w.Body, time.Since(began))
		}
		if left := list[0].Requests()[0].Header.Get(forwardtest.HeaderRemaining) + list[1].Requests()[0].Header.Get(forwardtest.HeaderRemaining); left != "1000800" && left != "8001000" {
			t.Errorf("the replicas were told %s ms are left", left)
		}
	})
}

func TestASilentReplicaIsNotLeftWhereNoOtherMayBeTried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := replicas(func(c *forwardtest.Conn) bool {
			time.Sleep(700 * time.Millisecond)
			return c.Answer(http.StatusOK, "done")
		}, hangUp)
		f := forwardtest.NewFleet(t, list...)
		for f.Budget.Take(time.Now(), upstream) {
		}
		w, ending := serve(t, f, call(route.Idempotent, 2))
		if ending != forward.EndedComplete || w.Body.String() != "done" || requests(list) != 1 {
			t.Errorf("ending %s, body %q after %d requests: the answer was given up though no other attempt was allowed", ending, w.Body, requests(list))
		}
	})
}

func TestACallerWhoLeavesEndsTheReplicasWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		list := replicas(func(c *forwardtest.Conn) bool {
			hang(c)
			ended <- time.Now()
			return false
		})
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, leave)
		began := time.Now()
		ending := forwardtest.NewFleet(t, list...).Serve(ctx, httptest.NewRecorder(), call(route.AtMostOnce, 1))
		if at := <-ended; ending != forward.EndedCallerGone || at.Sub(began) != 100*time.Millisecond {
			t.Errorf("ending %s, the replica's connection closed after %s", ending, at.Sub(began))
		}
	})
}

func TestAReplicaThatLeavesWhileTheCallConnectsGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
				t.Errorf("%s got a call after it had left", gone)
			}
		}
	})
}

func TestRetriesStopWhenTheBudgetIsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := replicas(hangUp, hangUp)
		f := forwardtest.NewFleet(t, list...)
		const calls = 100
		for range calls {
			serve(t, f, call(route.Idempotent, 2))
		}
		added := requests(list) - calls
		if limit := int(0.75 * (0.2*calls + 40)); added > limit || added < limit-1 {
			t.Errorf("%d attempts added to %d calls, want about %d", added, calls, limit)
		}
	})
}

func TestNobodyIsAskedWhereNoReplicaIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, ending := serve(t, forwardtest.NewFleet(t), call(route.AtMostOnce, 1))
		if ending != forward.EndedRefused || w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("ending %s, status %d, header %v", ending, w.Code, w.Header())
		}
	})
}

func TestACallThatCrashesReplicasIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
