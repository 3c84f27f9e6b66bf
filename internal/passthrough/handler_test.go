package passthrough

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
	"galenatrestle/internal/routesource"
)

// rig is a handler before one replica, with a clock that a test moves.
type rig struct {
	*Handler
	routes  *routesource.Current
	replica *forwardtest.Replica
	now     boottime.Instant
}

const second = boottime.Instant(time.Second)

// document is the configuration of all tests; the encoded one is only a name.
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

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{routes: routesource.New(document), now: 100 * second}
	r.replica = forwardtest.NewReplica("i-0", "u", func(c *forwardtest.Conn) bool { return c.Answer(200, "done") })
	fleet := forwardtest.NewFleet(t, r.replica)
	r.Handler = New(Options{
		Routes: r.routes, Forwarder: fleet.Forwarder, Codec: forwardtest.Codec{},
		Clock: func() boottime.Instant { return r.now }, Random: func() float64 { return 0 },
		Bounds:    func() Bounds { return Bounds{RevokeAfter: 5 * time.Second, ApplyWithin: 2 * time.Second} },
		NodeCount: func() int { return 1 }, Log: eventlog.New(io.Discard, "t"), Registry: prometheus.NewRegistry(),
	})
	return r
}

// know gives the rig the configuration, proved so long ago.
func (r *rig) know(age time.Duration) {
	_, _ = r.routes.Take([]byte("x"), r.now.Add(-age))
}

func (r *rig) ask(path, key, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Host = "h.example"
	request.Header.Set(forwardtest.HeaderID, "c1")
	if key != "" {
		request.Header.Set(forwardtest.HeaderKey, key)
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, request)
	return w
}

func TestWhoIsLetIn(t *testing.T) {
	tests := map[string]struct {
		known           bool
		age             time.Duration
		path, key, body string
		status          int
	}{
		"no configuration yet":                {false, 0, "/open/x", "", "", 503},
		"open route":                          {true, 0, "/open/x", "", "", 200},
		"key":                                 {true, 0, "/closed/x", "good", "", 200},
		"unknown key":                         {true, 0, "/closed/x", "bad", "", 401},
		"no key":                              {true, 0, "/closed/x", "", "", 401},
		"no such route":                       {true, 0, "/other/x", "good", "", 404},
		"body at the limit":                   {true, 0, "/open/x", "", "0123456789", 200},
		"body too large":                      {true, 0, "/open/x", "", "0123456789a", 413},
		"a newer one may have the route":      {true, 3 * time.Second, "/other/x", "", "", 503},
		"a newer one may have the key":        {true, 3 * time.Second, "/closed/x", "bad", "", 503},
		"key proved not to be revoked":        {true, 4 * time.Second, "/closed/x", "good", "", 200},
		"key that may have been revoked":      {true, 5 * time.Second, "/closed/x", "good", "", 503},
		"open route in an outage":             {true, time.Hour, "/open/x", "", "", 200},
		"unread path is matched as it is":     {true, 0, "/open%2fx", "", "", 404},
		"query is not part of the match":      {true, 0, "/other?p=/open/", "", "", 404},
		"query goes with the request":         {true, 0, "/open/x?p=1", "", "", 200},
		"path of another form is not cleaned": {true, 0, "/open//x/../y", "", "", 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				if test.known {
					r.know(test.age)
				}
				w := r.ask(test.path, test.key, test.body)
				if w.Code != test.status {
					t.Errorf("status %d, want %d", w.Code, test.status)
				}
				if ran := len(r.replica.Requests()) > 0; ran != (test.status == 200) {
					t.Errorf("status %d, and reached a replica: %v", w.Code, ran)
				}
				if (w.Code == 503) != (w.Header().Get("Retry-After") != "") {
					t.Errorf("status %d with Retry-After %q", w.Code, w.Header().Get("Retry-After"))
				}
				if w.Code == 200 && r.replica.Requests()[0].RequestURI != test.path {
					t.Errorf("the replica was asked for %s", r.replica.Requests()[0].RequestURI)
				}
			})
		})
	}
}

// TestAVMThatWakesUpDoesNotTrustWhatItKnewBefore moves the boot-time clock alone,
// as a suspension does.
func TestAVMThatWakesUpDoesNotTrustWhatItKnewBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.know(0)
		if w := r.ask("/closed/x", "good", ""); w.Code != 200 {
			t.Fatalf("status %d before", w.Code)
		}
		r.now += 10 * second
		if w := r.ask("/closed/x", "good", ""); w.Code != 503 {
			t.Errorf("status %d after the VM was suspended for ten seconds", w.Code)
		}
		r.know(0)
		if w := r.ask("/closed/x", "good", ""); w.Code != 200 {
			t.Errorf("status %d after a new proof", w.Code)
		}
	})
}

func TestThePatienceOfCallerAndRouteBoundTheCall(t *testing.T) {
	arrived := time.Now()
	for _, test := range []struct{ timeout, patience, want time.Duration }{
		{time.Second, 0, time.Second}, {time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		{time.Second, time.Minute, time.Second}, {0, 0, defaultTimeout}, {0, time.Second, time.Second},
	} {
		if got := deadline(arrived, &route.Route{Timeout: test.timeout}, test.patience).Sub(arrived); got != test.want {
			t.Errorf("route %s, caller %s: %s", test.timeout, test.patience, got)
		}
	}
}

func TestAStoppingNodeServesAndSaysThatTheConnectionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.know(0)
		r.DisableKeepAlives()
		if w := r.ask("/open/x", "", ""); w.Code != 200 || w.Header().Get("Connection") != "close" {
			t.Errorf("status %d, Connection %q", w.Code, w.Header().Get("Connection"))
		}
		r.RefuseStreaming()
		if w := r.ask("/stream/x", "", ""); w.Code != 503 || w.Header().Get("Retry-After") == "" || w.Header().Get("Connection") != "close" {
			t.Errorf("a long answer was begun: status %d, header %v", w.Code, w.Header())
		}
		if w := r.ask("/open/x", "", ""); w.Code != 200 {
			t.Errorf("a short answer was refused: status %d", w.Code)
		}
	})
}
