package forward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/retrybudget"
	"galenatrestle/internal/route"
)

// silence is longer than the idle timeouts of the routes that call returns.
const silence = 1200 * time.Millisecond

// patientCall returns a call with time for several silences.
func patientCall(repeat route.Repeat) *forward.Call {
	c := call(repeat, 3)
	c.Deadline = c.Arrived.Add(10 * time.Second)
	return c
}

// stream returns a script that writes a whole stream of the chunks, with pauses among them.
func stream(steps ...any) forwardtest.Script {
	return func(c *forwardtest.Conn) bool {
		if c.StartStream() != nil {
			return false
		}
		for _, step := range steps {
			switch step := step.(type) {
			case time.Duration:
				time.Sleep(step)
			case string:
				if c.WriteChunk(step) != nil {
					return false
				}
			}
		}
		return c.WriteChunk("") == nil
	}
}

// runSilent runs f in a bubble, and lets scripts that sleep end.
func runSilent(t *testing.T, f func(*testing.T)) {
	t.Helper()
	bubbletest.Run(t, func(t *testing.T) {
		f(t)
		time.Sleep(2 * time.Minute)
	})
}

func refuse(c *forwardtest.Conn) bool { return c.Refuse(http.StatusServiceUnavailable) }

// after returns a script that is silent before it does what next does.
func after(d time.Duration, next forwardtest.Script) forwardtest.Script {
	return func(c *forwardtest.Conn) bool {
		time.Sleep(d)
		return next(c)
	}
}

// Guards against answers that are ended because their replica is silent, for an attempt that no other replica takes.
func TestSilentReplicaGoesOnIfNoOtherTakesTheCall(t *testing.T) {
	whole := event1 + event2 + event3
	others := map[string]forwardtest.Script{
		"refuses":                  refuse,
		"breaks off":               closeConnection,
		"is silent as well":        neverAnswer,
		"fails":                    func(c *forwardtest.Conn) bool { return c.Answer(http.StatusInternalServerError, "failed") },
		"refuses after a while":    after(silence/4, refuse),
		"answers for another call": func(c *forwardtest.Conn) bool { return c.AnswerFor("other", http.StatusOK, "x") && neverAnswer(c) },
	}
	for name, other := range others {
		for kind, test := range map[string]struct {
			first forwardtest.Script
			call  *forward.Call
			body  string
		}{
			"stream":                        {stream(event1, silence, event2, event3), patientCall(route.ResumableStream), whole},
			"stream before its first event": {stream(silence, event1, event2, event3), patientCall(route.ResumableStream), whole},
			"call":                          {after(silence, answerOK), patientCall(route.Idempotent), "done"},
		} {
			t.Run(kind+", the other "+name, func(t *testing.T) {
				runSilent(t, func(t *testing.T) {
					now := time.Now()
					test.call.Arrived, test.call.Deadline = now, now.Add(10*time.Second)
					list := replicas(test.first, other, other, other)
					w, ending := serve(t, forwardtest.NewFleet(t, list...), test.call)
					if ending != forward.EndedComplete || w.Body.String() != test.body || time.Since(now) > 2*silence {
						t.Errorf("ending %s after %s, body %q", ending, time.Since(now), w.Body)
					}
					if requests(list) < 2 {
						t.Error("no other replica was asked")
					}
				})
			})
		}
	}
}

func TestSilentReplicaGoesOnIfNoConnectionToAnotherIsFree(t *testing.T) {
	runSilent(t, func(t *testing.T) {
		list := replicas(stream(event1, silence, event2), answerOK)
		f := forwardtest.NewFleet(t, list...)
		c := patientCall(route.ResumableStream)
		c.MaxConnections = 1
		// All connections are taken once the stream has one.
		f.OnDial = func(address string) {
			f.OnDial = nil
			for _, r := range list {
				if r.Address != address {
					if _, err := f.Conns.Open(t.Context(), r.ID, r.Address, 0); err != nil {
						t.Error(err)
					}
				}
			}
		}
		w, ending := serve(t, f, c)
		if ending != forward.EndedComplete || w.Body.String() != event1+event2 {
			t.Errorf("ending %s, body %q", ending, w.Body)
		}
	})
}

// Guards against events that are doubled or missing where the silent replica goes on while another one has begun.
func TestStreamGoesOnAtOneReplica(t *testing.T) {
	// The idle timeout of streams.
	const timeout = 700 * time.Millisecond
	for name, test := range map[string]struct {
		silent, other time.Duration
	}{
		"the other one is first":      {timeout + 200*time.Millisecond, 100 * time.Millisecond},
		"the silent one is first":     {timeout + 100*time.Millisecond, 200 * time.Millisecond},
		"both at the same moment":     {timeout + 100*time.Millisecond, 100 * time.Millisecond},
		"the silent one says nothing": {time.Minute, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runSilent(t, func(t *testing.T) {
				list := replicas(stream(event1, test.silent, event2, 10*time.Millisecond, event3), after(test.other, stream(event2, 10*time.Millisecond, event3)))
				w, ending := serve(t, forwardtest.NewFleet(t, list...), patientCall(route.ResumableStream))
				if ending != forward.EndedComplete || w.Body.String() != event1+event2+event3 || requests(list) != 2 {
					t.Errorf("ending %s, body %q, %d requests", ending, w.Body, requests(list))
				}
				for _, r := range list {
					if got := r.Requests()[0].Header.Get(forwardtest.HeaderLastEvent); got != "" && got != "1" {
						t.Errorf("resumed behind event %q", got)
					}
				}
			})
		})
	}
}

// Guards against an event that comes twice: the silent replica's last whole event arrived together with a part of the next
// chunk, and was forwarded though another replica had been asked to go on before it.
func TestEventThatCameBeforeASilenceInTheNextOneIsNotDoubled(t *testing.T) {
	for name, before := range map[string]string{"first events": "", "events after others": event1} {
		t.Run(name, func(t *testing.T) {
			runSilent(t, func(t *testing.T) {
				rest := strings.TrimPrefix(event1+event2+event3, before)
				whole := rest[:len(event1)]
				list := replicas(func(c *forwardtest.Conn) bool {
					if c.StartStream() != nil || before != "" && c.WriteChunk(before) != nil {
						return false
					}
					time.Sleep(50 * time.Millisecond)
					if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n%x\r\n%s", len(whole), whole, len(event3), event3[:5]); err != nil {
						return false
					}
					return neverAnswer(c)
				}, stream(rest))
				w, ending := serve(t, forwardtest.NewFleet(t, list...), patientCall(route.ResumableStream))
				if ending != forward.EndedComplete || w.Body.String() != event1+event2+event3 || requests(list) != 2 {
					t.Errorf("ending %s, body %q, %d requests", ending, w.Body, requests(list))
				}
			})
		})
	}
}

// Guards against a silent replica that works on beside the one that has taken the call up.
func TestSilentConnectionIsClosedOnceAnotherReplicaTakesTheCall(t *testing.T) {
	runSilent(t, func(t *testing.T) {
		began := time.Now()
		closed := make(chan time.Duration, 1)
		list := replicas(func(c *forwardtest.Conn) bool {
			events(false, event1)(c)
			neverAnswer(c)
			closed <- time.Since(began)
			return false
		}, after(250*time.Millisecond, stream(event2, 600*time.Millisecond, event3)))
		w, ending := serve(t, forwardtest.NewFleet(t, list...), patientCall(route.ResumableStream))
		if at := <-closed; ending != forward.EndedComplete || w.Body.String() != event1+event2+event3 || at != 950*time.Millisecond {
			t.Errorf("ending %s, body %q, closed after %s", ending, w.Body, at)
		}
	})
}

// Guards against replicas that go on to work for a call that another one answers, or whose caller has left.
func TestNoConnectionIsLeftOpenAfterACall(t *testing.T) {
	for name, test := range map[string]struct {
		first  forwardtest.Script
		leaves time.Duration
		ending forward.Ending
	}{
		"the silent one goes on":  {after(silence, answerOK), time.Minute, forward.EndedComplete},
		"the silent one breaks":   {after(silence, closeConnection), time.Minute, forward.EndedTimeout},
		"the caller leaves":       {neverAnswer, silence, forward.EndedCallerGone},
		"the deadline has passed": {neverAnswer, time.Minute, forward.EndedTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			runSilent(t, func(t *testing.T) {
				var open atomic.Int64
				hang := func(c *forwardtest.Conn) bool {
					open.Add(1)
					defer open.Add(-1)
					return neverAnswer(c)
				}
				list := replicas(test.first, hang, hang)
				ctx, leave := context.WithTimeout(t.Context(), test.leaves)
				defer leave()
				ending := forwardtest.NewFleet(t, list...).Serve(ctx, httptest.NewRecorder(), patientCall(route.Idempotent))
				synctest.Wait()
				if ending != test.ending || open.Load() != 0 || requests(list) != 3 {
					t.Errorf("ending %s, %d connections open, %d requests", ending, open.Load(), requests(list))
				}
			})
		})
	}
}

// Guards against events that wait until the replica of a hedge, which is not needed any more, has said that it is there.
func TestHedgeThatAsksItsReplicaDoesNotHoldEvents(t *testing.T) {
	runSilent(t, func(t *testing.T) {
		list := replicas(stream(event1, 900*time.Millisecond, event2), earlyAnswer(http.StatusInternalServerError, "failed", true))
		f := forwardtest.NewNodeWith("test", func(o *forward.Options) {
			o.Ask = func(ctx context.Context, _ replica.Replica) error {
				<-ctx.Done()
				return ctx.Err()
			}
		}, list...)
		for _, r := range list {
			t.Cleanup(r.Crash)
		}
		began := time.Now()
		w, ending := serve(t, f, patientCall(route.ResumableStream))
		if took := time.Since(began); ending != forward.EndedComplete || w.Body.String() != event1+event2 || took > time.Second || requests(list) != 2 {
			t.Errorf("ending %s after %s, body %q, %d requests", ending, took, w.Body, requests(list))
		}
	})
}

// Each loop of a call that waits and looks for another replica ends with the call.
func TestLoopsOfACallEndWhenItsCallerLeaves(t *testing.T) {
	const leaves = 1100 * time.Millisecond
	other := "v9"
	hang := func(c *forwardtest.Conn) bool { return neverAnswer(c) }
	breakOff := func(c *forwardtest.Conn) bool {
		events(false, event1)(c)
		time.Sleep(800 * time.Millisecond)
		return false
	}
	for name, test := range map[string]struct {
		scripts []forwardtest.Script
		version *string
	}{
		"waits for a replica of its version":         {[]forwardtest.Script{answerOK}, &other},
		"waits for others after its replica is gone": {[]forwardtest.Script{breakOff, hang, hang}, nil},
		"reads from a silent replica beside others":  {[]forwardtest.Script{hang, hang, hang}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			runSilent(t, func(t *testing.T) {
				began := time.Now()
				ctx, leave := context.WithTimeout(t.Context(), leaves)
				defer leave()
				c := patientCall(route.ResumableStream)
				c.StreamVersion = test.version
				ending := forwardtest.NewFleet(t, replicas(test.scripts...)...).Serve(ctx, httptest.NewRecorder(), c)
				if took := time.Since(began); ending != forward.EndedCallerGone || took != leaves {
					t.Errorf("ending %s after %s", ending, took)
				}
			})
		})
	}
}

func TestHedgeReplacesASilentReplicaThatBreaksOff(t *testing.T) {
	runSilent(t, func(t *testing.T) {
		// The connection breaks while the second replica is not heard of yet, which counts as silent itself
		// before the third one answers.
		list := replicas(func(c *forwardtest.Conn) bool {
			events(false, event1)(c)
			time.Sleep(800 * time.Millisecond)
			return false
		}, neverAnswer, stream(event2, event3))
		w, ending := serve(t, forwardtest.NewFleet(t, list...), patientCall(route.ResumableStream))
		if ending != forward.EndedComplete || w.Body.String() != event1+event2+event3 || requests(list) != 3 {
			t.Errorf("ending %s, body %q, %d requests", ending, w.Body, requests(list))
		}
	})
}

func TestHedgesStayWithinAttemptsAndBudget(t *testing.T) {
	for name, test := range map[string]struct {
		budget   float64
		requests int
	}{"attempts of the route": {40, 3}, "retry budget": {2, 2}, "no budget": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			runSilent(t, func(t *testing.T) {
				list := replicas(neverAnswer, neverAnswer, neverAnswer, neverAnswer, neverAnswer)
				f := forwardtest.NewFleet(t, list...)
				f.Budget.SetLimits(retrybudget.Limits{Window: 10 * time.Second, Allowance: test.budget, Nodes: 1})
				_, ending := serve(t, f, patientCall(route.Idempotent))
				if ending != forward.EndedTimeout || requests(list) != test.requests {
					t.Errorf("ending %s, %d requests", ending, requests(list))
				}
			})
		})
	}
}

// Guards against reusing a connection that still has the read deadline, or a hedge's interrupt, of another call.
func TestReusedConnectionHasNoDeadlineOfAnotherCall(t *testing.T) {
	for name, other := range map[string]forwardtest.Script{"no hedge": nil, "hedge refused at the same moment": after(100*time.Millisecond, refuse)} {
		t.Run(name, func(t *testing.T) {
			runSilent(t, func(t *testing.T) {
				first := func(c *forwardtest.Conn) bool {
					if c.Number > 1 {
						time.Sleep(4 * silence)
					} else {
						time.Sleep(300 * time.Millisecond)
					}
					return answerOK(c)
				}
				list := replicas(first, other)
				if other == nil {
					list = replicas(first)
				}
				f := forwardtest.NewFleet(t, list...)
				c := patientCall(route.Idempotent)
				if _, ending := serve(t, f, c); ending != forward.EndedComplete {
					t.Fatalf("first call: %s", ending)
				}
				f.SetReplicas(replicaWithRequests(list))
				once := patientCall(route.AtMostOnce)
				if _, ending := serve(t, f, once); ending != forward.EndedComplete {
					t.Errorf("second call: %s", ending)
				}
				if count := replicaWithRequests(list).ConnectionCount(); count != 1 {
					t.Errorf("%d connections", count)
				}
			})
		})
	}
}

// replicaWithRequests returns the first of the replicas that answered.
func replicaWithRequests(list []*forwardtest.Replica) *forwardtest.Replica {
	for _, r := range list {
		if len(r.Requests()) > 0 {
			return r
		}
	}
	return nil
}

// Random silences, refusals and broken connections at all replicas: the caller gets each event once and in order, and the
// call ends whole while a replica that goes on is left to it.
func TestStreamsWithRandomSilencesAreInOrder(t *testing.T) {
	const seeds, count = 300, 12
	whole := ""
	for i := range count {
		whole += fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
	}
	for seed := range uint64(seeds) {
		runSilent(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			breaks := random.IntN(2) == 0
			var scripts []forwardtest.Script
			for i := range 6 {
				own := rand.New(rand.NewPCG(seed, uint64(2+i)))
				scripts = append(scripts, func(c *forwardtest.Conn) bool {
					if own.IntN(3) == 0 && i > 0 {
						return refuse(c)
					}
					next, _ := strconv.Atoi(c.Request.Header.Get(forwardtest.HeaderLastEvent))
					if c.StartStream() != nil {
						return false
					}
					for ; next < count; next++ {
						time.Sleep(time.Duration(own.ExpFloat64() * float64(200*time.Millisecond)))
						event := fmt.Sprintf("id: %d\ndata: x\n\n", next+1)
						if breaks && own.IntN(40) == 0 {
							_ = c.WriteChunk(event[:7])
							return false
						}
						if c.WriteChunk(event) != nil {
							return false
						}
					}
					return c.WriteChunk("") == nil
				})
			}
			list := replicas(scripts...)
			c := patientCall(route.ResumableStream)
			c.Deadline = c.Arrived.Add(time.Minute)
			w, ending := serve(t, forwardtest.NewFleet(t, list...), c)
			body := w.Body.String()
			if !strings.HasPrefix(whole, body) || ending == forward.EndedComplete && body != whole {
				t.Errorf("seed %d: ending %s, body %q", seed, ending, body)
			}
			if !breaks && ending != forward.EndedComplete {
				t.Errorf("seed %d: ending %s without a broken connection", seed, ending)
			}
			if requests(list) > 3+4 {
				t.Errorf("seed %d: %d requests", seed, requests(list))
			}
		})
	}
}
