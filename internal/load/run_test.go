package load

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/standin"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/service"
	"galenatrestle/internal/testnet"
)

// fakeEntry is an entry node that passes everything on, and misbehaves for
// prompts that contain one of its words.
type fakeEntry struct {
	engine  *engine.Engine
	service *service.Service
	// handle names a misbehaviour by the word in the request's body.
	handle map[string]http.HandlerFunc
}

func newFakeEntry() *fakeEntry {
	return &fakeEntry{
		engine:  engine.New(engine.Options{Name: "e1", Model: "tab-llm", TokenInterval: 10 * time.Millisecond, Slots: 1000}),
		service: service.New(service.Options{Name: "s1"}),
		handle:  make(map[string]http.HandlerFunc),
	}
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := new(bytes.Buffer)
	if _, err := body.ReadFrom(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = http.NoBody
	onward := r.Clone(r.Context())
	onward.Body = readCloser{bytes.NewReader(body.Bytes())}
	for word, handle := range f.handle {
		if strings.Contains(body.String(), word) {
			handle(w, onward)
			return
		}
	}
	f.serve(w, onward)
}

func (f *fakeEntry) serve(w http.ResponseWriter, r *http.Request) {
	if path, ok := strings.CutPrefix(r.URL.Path, "/services/ledger"); ok {
		r.URL.Path = path
		f.service.ServeHTTP(w, r)
		return
	}
	f.engine.ServeHTTP(w, r)
}

type readCloser struct{ *bytes.Reader }

func (readCloser) Close() error { return nil }

// run sends requests to the entry, reads the run lists and reports.
func run(t *testing.T, entry *fakeEntry, w *Workload, requests []Request) (*Report, []*Result) {
	t.Helper()
	client := testnet.Serve(t, entry)
	ops := testnet.Serve(t, standin.Handler(map[string]standin.Standin{"e1": entry.engine, "s1": entry.service}))
	collector := NewCollector(w)
	NewRunner(w, NewCaller(client), NewEntries(client, []string{"entry"}, false), collector).Run(t.Context(), requests)
	truth, err := FetchSettledTruth(t.Context(), ops, []string{"http://ops"}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return collector.Report(truth), collector.Results()
}

func TestRunAgainstHonestEntry(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		w := parse(t, small)
		requests := Plan(w)
		Stamp(requests, "run")
		report, _ := run(t, newFakeEntry(), w, requests)
		class := report.Classes[0]
		if class.Offered != len(requests) || class.Answered != class.Offered || class.OnTarget != class.Offered {
			t.Errorf("class %+v, want all %d on target", class, len(requests))
		}
		if len(report.Violations) != 0 {
			t.Errorf("violations %+v", report.Violations)
		}
		if report.WastedShare == nil || *report.WastedShare != 0 || report.GeneratedTokens == 0 {
			t.Errorf("report %+v", report)
		}
		// Five words, one each 10ms; the first takes a step and its prefill.
		if p50 := class.Answer.P50; p50 < 50 || p50 > 60 {
			t.Errorf("answer p50 %v ms", p50)
		}
	})
}

// misbehaviour is one broken promise, or an honest refusal, and what the tool
// must say of it.
type misbehaviour struct {
	name    string
	handle  func(f *fakeEntry) http.HandlerFunc
	service bool
	promise string // empty: no violation
	shed    map[string]int
}

// refusedID is a request id as nodes make them.
const refusedID = "vm-0.8a1f"

func refuse(w http.ResponseWriter, reason, outcome string) {
	w.Header().Set("Trestle-Request-Id", refusedID)
	w.Header().Set("Trestle-Outcome", outcome)
	w.Header().Set("Trestle-Reason", reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func misbehaviours() []misbehaviour {
	write := func(text string) func(*fakeEntry) http.HandlerFunc {
		return func(*fakeEntry) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
		}
	}
	return []misbehaviour{
		{name: "clean end of a cut answer", promise: promiseWhole, shed: map[string]int{"truncated": 1},
			handle: write(`data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n")},
		{name: "another's answer", promise: promiseWhole, shed: map[string]int{"wrong-answer": 1},
			handle: write(`data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\ndata: [DONE]\n\n")},
		{name: "error event", shed: map[string]int{"error-event": 1},
			handle: write("event: error\ndata: {}\n\n")},
		{name: "honest refusal", shed: map[string]int{"queue_full": 1},
			handle: func(*fakeEntry) http.HandlerFunc {
				return func(w http.ResponseWriter, _ *http.Request) { refuse(w, "queue_full", "not-run") }
			}},
		{name: "highest tier shed", promise: promiseHighest, shed: map[string]int{"shed_for_higher_tier": 1},
			handle: func(*fakeEntry) http.HandlerFunc {
				return func(w http.ResponseWriter, _ *http.Request) { refuse(w, "shed_for_higher_tier", "not-run") }
			}},
		{name: "run but said to be not run", promise: promiseNotRun, shed: map[string]int{"upstream_failed": 1},
			handle: func(f *fakeEntry) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					r.Header.Set("X-Request-Id", refusedID+".1")
					f.serve(discard{}, r)
					refuse(w, "upstream_failed", "not-run")
				}
			}},
		{name: "service run but said to be not run", promise: promiseNotRun, service: true, shed: map[string]int{"upstream_failed": 1},
			handle: func(f *fakeEntry) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					r.Header.Set("X-Request-Id", refusedID)
					f.serve(discard{}, r)
					refuse(w, "upstream_failed", "not-run")
				}
			}},
		{name: "run twice", promise: promiseOnce, service: true, shed: map[string]int{},
			handle: func(f *fakeEntry) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					f.service.ServeHTTP(discard{}, r.Clone(r.Context()))
					r.Body = readCloser{bytes.NewReader([]byte(`{"call":"claims-1"}`))}
					f.serve(w, r)
				}
			}},
	}
}

// discard is a response writer that nobody reads.
type discard struct{}

func (discard) Header() http.Header            { return http.Header{} }
func (discard) Write(data []byte) (int, error) { return len(data), nil }
func (discard) WriteHeader(int)                {}
func (discard) Flush()                         {}

func TestBrokenPromisesAreFound(t *testing.T) {
	for _, tt := range misbehaviours() {
		t.Run(tt.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				entry := newFakeEntry()
				w := parse(t, small)
				request := Request{Name: "shops-1", Stream: &w.Streams[0], Prompt: "shops-1 text", MaxTokens: 3}
				if tt.service {
					request = Request{Name: "claims-1", Stream: &w.Streams[1], Prompt: `{"call":"claims-1"}`}
				}
				entry.handle[request.Name] = tt.handle(entry)
				requests := []Request{request}
				Stamp(requests, "run")
				report, _ := run(t, entry, w, requests)
				var promises []string
				for _, v := range report.Violations {
					promises = append(promises, v.Promise)
				}
				if got := strings.Join(promises, ","); got != tt.promise {
					t.Errorf("violations %q, want %q", got, tt.promise)
				}
				if !maps.Equal(report.Classes[0].Shed, tt.shed) {
					t.Errorf("shed %v, want %v", report.Classes[0].Shed, tt.shed)
				}
			})
		})
	}
}

func TestResendAndGiveUp(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		entry := newFakeEntry()
		times := 0
		entry.handle["shops-1"] = func(w http.ResponseWriter, r *http.Request) {
			times++
			if times > 1 {
				entry.serve(w, r)
				return
			}
			w.Header().Set("Retry-After", "3")
			refuse(w, "queue_full", "not-run")
		}
		entry.handle["shops-2"] = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
		w := parse(t, small)
		stream := w.Streams[0]
		stream.Resend = Resend{Times: 1}
		stream.GiveUpAfter = w.Classes[0].TargetAnswer
		report, results := run(t, entry, w, []Request{
			{Name: "shops-1", Stream: &stream, Prompt: "shops-1", MaxTokens: 3},
			{Name: "shops-2", Stream: &stream, Prompt: "shops-2", MaxTokens: 3},
		})
		class := report.Classes[0]
		if class.Answered != 1 || class.OnTarget != 0 || class.Resent != 1 || class.Shed["gave-up"] != 1 {
			t.Errorf("class %+v, want one answered late after a resend and one given up", class)
		}
		for _, r := range results {
			if r.answered() && r.Answer < 3*time.Second {
				t.Errorf("resent after %v, before Retry-After", r.Answer)
			}
		}
	})
}

func TestReplayNamesDifferences(t *testing.T) {
	const trace = `{"at":"0s","workspace":"w","class":"counter","model":"tab-llm","prompt":"one","answer_tokens":4,"outcome":"answered"}
{"at":"1s","workspace":"w","class":"counter","model":"tab-llm","prompt":"two","answer_tokens":400,"within":"1s","outcome":"on-target"}
{"at":"1s","workspace":"w","class":"counter","model":"tab-llm","prompt":"three","answer_tokens":4,"outcome":"not-run|answered"}
{"at":"2s","workspace":"w","class":"counter","model":"none","prompt":"four","outcome":"unknown_model"}
`
	bubbletest.Run(t, func(t *testing.T) {
		w, requests, err := ReadTrace(strings.NewReader(trace), map[string]string{"w": "k"})
		if err != nil {
			t.Fatal(err)
		}
		_, results := run(t, newFakeEntry(), w, requests)
		names := make(map[string]bool)
		for _, d := range Differences(results) {
			names[d.Request] = true
		}
		// The engine refuses the last one without a reason of the system.
		if want := map[string]bool{"line 2": true, "line 4": true}; !maps.Equal(names, want) {
			t.Errorf("differences %v, want %v", names, want)
		}
	})
}

func TestTraceErrorsNameTheLine(t *testing.T) {
	const good = `{"at":"0s","workspace":"w","class":"c","model":"m","prompt":"p","outcome":"answered"}` + "\n"
	for name, line := range map[string]string{
		"not JSON":        `{"at":`,
		"unknown field":   `{"when":"0s"}`,
		"unknown outcome": `{"workspace":"w","class":"c","model":"m","prompt":"p","outcome":"fine"}`,
		"no key":          `{"workspace":"other","class":"c","model":"m","prompt":"p","outcome":"answered"}`,
		"no prompt":       `{"workspace":"w","class":"c","model":"m","outcome":"answered"}`,
	} {
		_, _, err := ReadTrace(strings.NewReader(good+line), map[string]string{"w": "k"})
		if err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%s: error %v, want line 2 named", name, err)
		}
	}
}
