package passthrough

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
	"galenatrestle/internal/routesource"
)

// harness is a handler in front of one replica, with a manual clock.
type harness struct {
	*Handler
	routes  *routesource.Current
	replica *forwardtest.Replica
	now     boottime.Instant
	// othersServe is whether another node serves; workTime is how long the replica takes.
	othersServe bool
	workTime    time.Duration
}

const second = boottime.Instant(time.Second)

// document returns the configuration of all tests and ignores its input.
func document([]byte) (*route.Document, error) {
	targets := []route.Target{{Upstream: "u", Weight: 1}}
	return &route.Document{
		Version: 1,
		Routes: []route.Route{
			{Name: "closed", Host: "h.example", Prefix: "/closed/", Repeat: route.AtMostOnce, Targets: targets, MaxAttempts: 1, Timeout: time.Second},
			{Name: "open", Host: "h.example", Prefix: "/open/", Repeat: route.Idempotent, Targets: targets, MaxAttempts: 1, Timeout: time.Second, Anonymous: true},
			{Name: "stream", Host: "h.example", Prefix: "/stream/", Repeat: route.AtMostOnce, Streaming: true, Targets: targets, MaxAttempts: 1, Timeout: time.Second, Anonymous: true},
		},
		Workspaces: []route.KeyedWorkspace{{Workspace: route.Workspace{Name: "shop"}, Keys: []string{"good"}}},
		Limits:     route.Limits{MaxBodyBytes: 10},
	}, nil
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{routes: routesource.New(document), now: 100 * second}
	h.replica = forwardtest.NewReplica("i-0", "u", func(c *forwardtest.Conn) bool {
		time.Sleep(h.workTime)
		return c.Answer(200, "done")
	})
	fleet := forwardtest.NewFleet(t, h.replica)
	h.Handler = New(Options{
		Routes: h.routes, Forwarder: fleet.Forwarder, Codec: forwardtest.Codec{},
		Clock: func() boottime.Instant { return h.now }, Random: func() float64 { return 0 },
		Bounds:    func() Bounds { return Bounds{RevokeAfter: 5 * time.Second, ApplyWithin: 2 * time.Second} },
		NodeCount: func() int { return 1 }, OthersServe: func() bool { return h.othersServe }, Log: eventlog.New(io.Discard, "t"), Registry: prometheus.NewRegistry(),
	})
	return h
}

// setConfiguration installs the configuration with the given age.
func (h *harness) setConfiguration(age time.Duration) {
	_, _ = h.routes.Take([]byte("x"), h.now.Add(-age))
}

func (h *harness) send(path, key, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Host = "h.example"
	request.Header.Set(forwardtest.HeaderID, "c1")
	if key != "" {
		request.Header.Set(forwardtest.HeaderKey, key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, request)
	return w
}

func TestRequestChecks(t *testing.T) {
	tests := map[string]struct {
		configured      bool
		age             time.Duration
		path, key, body string
		status          int
	}{
		"no configuration yet":             {false, 0, "/open/x", "", "", 503},
		"open route":                       {true, 0, "/open/x", "", "", 200},
		"key":                              {true, 0, "/closed/x", "good", "", 200},
		"unknown key":                      {true, 0, "/closed/x", "bad", "", 401},
		"no key":                           {true, 0, "/closed/x", "", "", 401},
		"no such route":                    {true, 0, "/other/x", "good", "", 404},
		"body at the limit":                {true, 0, "/open/x", "", "0123456789", 200},
		"body too large":                   {true, 0, "/open/x", "", "0123456789a", 413},
		"unknown route, outdated table":    {true, 3 * time.Second, "/other/x", "", "", 503},
		"unknown key, outdated table":      {true, 3 * time.Second, "/closed/x", "bad", "", 503},
		"key within the revocation bound":  {true, 4 * time.Second, "/closed/x", "good", "", 200},
		"key beyond the revocation bound":  {true, 5 * time.Second, "/closed/x", "good", "", 503},
		"open route, very old table":       {true, time.Hour, "/open/x", "", "", 200},
		"path is matched without decoding": {true, 0, "/open%2fx", "", "", 404},
		"query is not matched":             {true, 0, "/other?p=/open/", "", "", 404},
		"query is forwarded":               {true, 0, "/open/x?p=1", "", "", 200},
		"path is not cleaned":              {true, 0, "/open//x/../y", "", "", 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				h := newHarness(t)
				if test.configured {
					h.setConfiguration(test.age)
				}
				w := h.send(test.path, test.key, test.body)
				if w.Code != test.status {
					t.Errorf("status %d, want %d", w.Code, test.status)
				}
				if reached := len(h.replica.Requests()) > 0; reached != (test.status == 200) {
					t.Errorf("status %d, reached a replica: %v", w.Code, reached)
				}
				if (w.Code == 503) != (w.Header().Get("Retry-After") != "") {
					t.Errorf("status %d with Retry-After %q", w.Code, w.Header().Get("Retry-After"))
				}
				if w.Code == 200 && h.replica.Requests()[0].RequestURI != test.path {
					t.Errorf("the replica received the target %s", h.replica.Requests()[0].RequestURI)
				}
			})
		})
	}
}

// Guards against accepting keys by an outdated table after the VM was suspended, which
// advances only the boot-time clock.
func TestSuspendedVMDoesNotTrustItsOldTable(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		h := newHarness(t)
		h.setConfiguration(0)
		if w := h.send("/closed/x", "good", ""); w.Code != 200 {
			t.Fatalf("status %d before the suspension", w.Code)
		}
		h.now += 10 * second
		if w := h.send("/closed/x", "good", ""); w.Code != 503 {
			t.Errorf("status %d after the VM was suspended for ten seconds", w.Code)
		}
		h.setConfiguration(0)
		if w := h.send("/closed/x", "good", ""); w.Code != 200 {
			t.Errorf("status %d after a refresh of the configuration", w.Code)
		}
	})
}

func TestDeadlineIsTheEarlierOfRouteAndCaller(t *testing.T) {
	arrived := time.Now()
	for _, test := range []struct{ timeout, callerTimeout, want time.Duration }{
		{time.Second, 0, time.Second}, {time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{time.Second, time.Minute, time.Second}, {0, 0, defaultTimeout}, {0, time.Second, time.Second},
	} {
		if got := deadline(arrived, &route.Route{Timeout: test.timeout}, test.callerTimeout).Sub(arrived); got != test.want {
			t.Errorf("route timeout %s, caller timeout %s: deadline after %s", test.timeout, test.callerTimeout, got)
		}
	}
}

func TestStoppingHandlerClosesConnectionsAndRefusesStreaming(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		h := newHarness(t)
		h.setConfiguration(0)
		h.DisableKeepAlives()
		if w := h.send("/open/x", "", ""); w.Code != 200 || w.Header().Get("Connection") != "close" {
			t.Errorf("status %d, Connection %q", w.Code, w.Header().Get("Connection"))
		}
		h.RefuseStreaming()
		if w := h.send("/stream/x", "", ""); w.Code != 503 || w.Header().Get("Retry-After") == "" || w.Header().Get("Connection") != "close" {
			t.Errorf("streaming request: status %d, header %v", w.Code, w.Header())
		}
		if w := h.send("/open/x", "", ""); w.Code != 200 {
			t.Errorf("other request after RefuseStreaming: status %d", w.Code)
		}
	})
}

// Guards against calls that a stopping node sends to a replica and cuts by its exit.
func TestStoppingNodeTakesOnlyCallsThatWillBeAnswered(t *testing.T) {
	const workTime, deadline = 300 * time.Millisecond, time.Second
	for name, test := range map[string]struct {
		answersKnown bool
		left         time.Duration
		status       int
	}{
		"time for twice the longest answer":     {true, 800 * time.Millisecond, 200},
		"time for the longest answer only":      {true, 400 * time.Millisecond, 503},
		"no answer known, time to the deadline": {false, deadline, 200},
		"no answer known, less time":            {false, deadline - time.Millisecond, 503},
		"the time is over":                      {true, -time.Millisecond, 503},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				h := newHarness(t)
				h.setConfiguration(0)
				if test.answersKnown {
					h.workTime = workTime
					h.send("/open/x", "", "")
				}
				sent := len(h.replica.Requests())
				h.AnswerBy(time.Now().Add(test.left))
				w := h.send("/open/x", "", "")
				if w.Code != test.status {
					t.Errorf("status %d, want %d", w.Code, test.status)
				}
				if reached := len(h.replica.Requests()) > sent; reached != (test.status == 200) {
					t.Errorf("the request reached the replica: %v", reached)
				}
			})
		})
	}
}

// Callers that are refused while all nodes stop come back when one may have started again.
func TestStoppingNodeTellsWhenToComeBack(t *testing.T) {
	for _, test := range []struct {
		othersServe bool
		want        string
	}{{true, "0.001"}, {false, "0.3"}} {
		bubbletest.Run(t, func(t *testing.T) {
			h := newHarness(t)
			h.setConfiguration(0)
			h.othersServe = test.othersServe
			h.RefuseNew()
			if w := h.send("/open/x", "", ""); w.Code != 503 || w.Header().Get("Retry-After") != test.want {
				t.Errorf("others serve %v: status %d, Retry-After %q, want %s", test.othersServe, w.Code, w.Header().Get("Retry-After"), test.want)
			}
		})
	}
}

// Requests that are refused because the node stops do not keep it from stopping.
func TestRefusedRequestsDoNotKeepAStoppingNodeBusy(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		h := newHarness(t)
		h.setConfiguration(0)
		h.send("/open/x", "", "")
		h.RefuseNew()
		time.Sleep(time.Second)
		h.send("/open/x", "", "")
		if idle := h.IdleTime(time.Now()); idle < time.Second {
			t.Errorf("idle for %s, want a second", idle)
		}
	})
}
