package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/route"
)

// events returns a script that writes the chunks, and ends the stream if complete is
// set.
func events(complete bool, chunks ...string) forwardtest.Script {
	return func(c *forwardtest.Conn) bool {
		if c.StartStream() != nil {
			return false
		}
		for _, chunk := range chunks {
			if c.WriteChunk(chunk) != nil {
				return false
			}
		}
		return complete && c.WriteChunk("") == nil
	}
}

const (
	event1 = "id: 1\ndata: a\n\n"
	event2 = "id: 2\ndata: b\n\n"
	event3 = "id: 3\ndata: c\n\n"
)

func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	tests := map[string]forwardtest.Script{
		"broken inside an event":         events(false, event1, event2+"id: 3\nda"),
		"broken between events":          events(false, event1, event2),
		"an event split over two chunks": events(false, event1+event2[:5], event2[5:]),
		"silent": func(c *forwardtest.Conn) bool {
			events(false, event1, event2)(c)
			return neverAnswer(c)
		},
		"ended inside an event": events(true, event1, event2+"id: 3\n"),
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				var resumedAt string
				list := replicas(first, func(c *forwardtest.Conn) bool {
					resumedAt = c.Request.Header.Get(forwardtest.HeaderLastEvent)
					return events(true, event3)(c)
				})
				w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.ResumableStream, 2))
				if ending != forward.EndedComplete || w.Body.String() != event1+event2+event3 || resumedAt != "2" {
					t.Errorf("ending %s, body %q, resumed behind %q", ending, w.Body, resumedAt)
				}
			})
		})
	}
}

func TestNonResumableStreamEndsBroken(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(events(false, event1), events(true, event2))
		c := call(route.AtMostOnce, 2)
		c.Route.Streaming = true
		w, ending := serve(t, forwardtest.NewFleet(t, list...), c)
		if ending != forward.EndedBroken || w.Body.String() != event1 || requests(list) != 1 {
			t.Errorf("ending %s, body %q, %d requests", ending, w.Body, requests(list))
		}
	})
}

func TestStreamRetriedBeforeFirstEventSendsHeadersOnce(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(events(false), events(true, event1))
		w, ending := serve(t, forwardtest.NewFleet(t, list...), call(route.ResumableStream, 2))
		if ending != forward.EndedComplete || w.Code != http.StatusOK || w.Body.String() != event1 {
			t.Errorf("ending %s, status %d, body %q", ending, w.Code, w.Body)
		}
	})
}

func TestEventsAreFlushedAsTheyArrive(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(func(c *forwardtest.Conn) bool {
			_ = c.StartStream()
			for _, e := range []string{event1, event2, event3} {
				_ = c.WriteChunk(e)
				time.Sleep(50 * time.Millisecond)
			}
			return c.WriteChunk("") == nil
		})
		w := &flushRecorder{start: time.Now(), header: make(http.Header)}
		forwardtest.NewFleet(t, list...).Serve(t.Context(), w, call(route.ResumableStream, 1))
		if len(w.flushedAfter) != 3 || w.flushedAfter[0] != 0 || w.flushedAfter[2] != 100*time.Millisecond {
			t.Errorf("events flushed after %v", w.flushedAfter)
		}
	})
}

// flushRecorder records the time from start to each flush.
type flushRecorder struct {
	start        time.Time
	header       http.Header
	flushedAfter []time.Duration
}

func (f *flushRecorder) Header() http.Header         { return f.header }
func (f *flushRecorder) WriteHeader(int)             {}
func (f *flushRecorder) Write(p []byte) (int, error) { return len(p), nil }
func (f *flushRecorder) Flush()                      { f.flushedAfter = append(f.flushedAfter, time.Since(f.start)) }

// unframed returns a script that writes a response with neither a length nor chunks, and then ends the
// connection; with crash also the replica, as listed in replicas.
func unframed(crash func(), contentType, body string) forwardtest.Script {
	return func(c *forwardtest.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s1\r\nContent-Type: %s\r\n\r\n%s",
			forwardtest.HeaderID, c.Request.Header.Get(forwardtest.HeaderID), forwardtest.HeaderStamp, contentType, body)
		if crash != nil {
			crash()
		}
		return false
	}
}

// Guards against responses without a length that are taken for whole when their replica crashes between two
// events or in the middle of a body: their end looks the same.
func TestEndOfResponseWithoutLengthIsNotThatOfItsReplica(t *testing.T) {
	for name, test := range map[string]struct {
		repeat      route.Repeat
		first, rest string
		crashes     bool
	}{
		"stream, replica crashes between events": {route.ResumableStream, event1 + event2, event3, true},
		"stream, replica goes on":                {route.ResumableStream, event1 + event2 + event3, "", false},
		"body, replica crashes":                  {route.Idempotent, "id: 1\nda", event1 + event2 + event3, true},
		"body, replica goes on":                  {route.Idempotent, event1 + event2 + event3, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				var list []*forwardtest.Replica
				crash := func() {
					for _, r := range list {
						if len(r.Requests()) > 0 {
							r.Crash()
						}
					}
				}
				if !test.crashes {
					crash = nil
				}
				list = replicas(unframed(crash, "text/event-stream", test.first), unframed(nil, "text/event-stream", test.rest))
				w, ending := serve(t, forwardtest.NewFleet(t, list...), call(test.repeat, 2))
				if ending != forward.EndedComplete || w.Body.String() != event1+event2+event3 {
					t.Errorf("ending %s, body %q", ending, w.Body)
				}
				asked := 0
				for _, r := range list {
					asked += len(r.Requests())
				}
				if want := 1; test.crashes && asked != want+1 || !test.crashes && asked != want {
					t.Errorf("%d requests, crashed: %t", asked, test.crashes)
				}
			})
		})
	}
}

// Guards against parts of responses without a length that look complete because their replica was leaving as it ended.
func TestEndOfResponseWithoutLengthOfALeavingReplica(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for name, test := range map[string]struct {
		status    int
		repeat    route.Repeat
		body      string
		ending    forward.Ending
		got       string
		otherRuns bool
	}{
		"stream":                {http.StatusOK, route.ResumableStream, event1, forward.EndedComplete, event1 + event2, true},
		"body":                  {http.StatusOK, route.Idempotent, "part", forward.EndedComplete, event2, true},
		"body, not repeated":    {http.StatusOK, route.AtMostOnce, "part", forward.EndedUnknown, "", false},
		"long body":             {http.StatusOK, route.Idempotent, long, forward.EndedBroken, long, false},
		"failure":               {http.StatusInternalServerError, route.Idempotent, "part", forward.EndedComplete, event2, true},
		"failure, not repeated": {http.StatusInternalServerError, route.AtMostOnce, "part", forward.EndedUnknown, "", false},
	} {
		for _, leaves := range []string{"draining", "no longer listed"} {
			for _, gone := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, gone: %t", name, leaves, gone), func(t *testing.T) {
					bubbletest.Run(t, func(t *testing.T) {
						var f *forwardtest.Fleet
						var list []*forwardtest.Replica
						list = replicas(func(c *forwardtest.Conn) bool {
							_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Status\r\n%s: c1\r\n%s: s1\r\n\r\n%s", test.status, forwardtest.HeaderID, forwardtest.HeaderStamp, test.body)
							leaving := replicaWithRequests(list)
							leaving.Draining = true
							listed := list
							if leaves != "draining" {
								listed = slices.DeleteFunc(slices.Clone(list), func(r *forwardtest.Replica) bool { return r == leaving })
							}
							f.SetReplicas(listed...)
							if gone {
								leaving.Crash()
							}
							return false
						}, events(true, event2))
						f = forwardtest.NewFleet(t, list...)
						w, ending := serve(t, f, call(test.repeat, 2))
						switch {
						case gone && (ending != test.ending || w.Body.String() != test.got || requests(list) > 1 != test.otherRuns):
							t.Errorf("ending %s, body %.40q, %d requests", ending, w.Body, requests(list))
						case !gone && test.status == http.StatusOK && (ending != forward.EndedComplete || w.Body.String() != test.body || requests(list) != 1):
							t.Errorf("ending %s, body %.40q, %d requests", ending, w.Body, requests(list))
						}
					})
				})
			}
		}
	}
}

// The connection by which a replica is asked whether it is still there serves the next call.
func TestResponsesWithoutLengthCostOneConnectionEach(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(unframed(nil, "text/event-stream", event1))
		f := forwardtest.NewFleet(t, list...)
		const calls = 10
		for range calls {
			serve(t, f, call(route.ResumableStream, 2))
		}
		if opened := list[0].ConnectionCount(); opened > calls+1 {
			t.Errorf("%d connections for %d calls", opened, calls)
		}
	})
}

// A replica that names a rate is only connected to at the end of a response without a length: it counts each request.
func TestReplicaThatNamesARateIsNotAsked(t *testing.T) {
	for header, want := range map[string]int{"": 1, forwardtest.HeaderRateLimit + ": 5\r\n": 0} {
		bubbletest.Run(t, func(t *testing.T) {
			list := replicas(func(c *forwardtest.Conn) bool {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\n%s\r\nwhole", forwardtest.HeaderID, forwardtest.HeaderStamp, header)
				return false
			})
			asked := 0
			f := forwardtest.NewNodeWith("test", func(o *forward.Options) {
				o.Ask = func(context.Context, replica.Replica) error { asked++; return nil }
			}, list...)
			t.Cleanup(list[0].Crash)
			if w, ending := serve(t, f, call(route.AtMostOnce, 1)); ending != forward.EndedComplete || w.Body.String() != "whole" || asked != want {
				t.Errorf("%q: ending %s, body %q, asked %d times", header, ending, w.Body, asked)
			}
		})
	}
}
