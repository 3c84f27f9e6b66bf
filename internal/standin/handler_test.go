package standin_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"galenatrestle/internal/standin"
	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/standin/runs"
)

type fake struct {
	faults *fault.Set
	runs   *runs.List
}

func (f fake) Faults() *fault.Set { return f.faults }
func (f fake) Runs() *runs.List   { return f.runs }

func TestSwitchesOverHTTP(t *testing.T) {
	f := fake{faults: fault.NewSet(fault.UpstreamKinds()...), runs: runs.NewList(2)}
	h := standin.Handler(map[string]standin.Standin{"tab-llm-1": f})
	tests := []struct {
		method, path, body string
		status             int
		on                 int
	}{
		{"POST", "/standin/tab-llm-1/fault", `{"kind":"straggler","for":"10s","factor":3}`, http.StatusOK, 1},
		{"POST", "/standin/tab-llm-1/fault", `{"kind":"refuse"}`, http.StatusOK, 2},
		{"POST", "/standin/tab-llm-1/fault", `{"kind":"down"}`, http.StatusBadRequest, 2},
		{"POST", "/standin/tab-llm-1/fault", `{"kind":"refuse","for":"soon"}`, http.StatusBadRequest, 2},
		{"POST", "/standin/tab-llm-1/fault", `{"kind":"crash-on-prompt"}`, http.StatusBadRequest, 2},
		{"POST", "/standin/other/fault", `{"kind":"refuse"}`, http.StatusNotFound, 2},
		{"DELETE", "/standin/tab-llm-1/fault?kind=refuse", "", http.StatusNoContent, 1},
		{"DELETE", "/standin/tab-llm-1/fault", "", http.StatusNoContent, 0},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
		if w.Code != tt.status || len(f.faults.List()) != tt.on {
			t.Errorf("%s %s %s: status %d, %d on, want %d, %d", tt.method, tt.path, tt.body, w.Code, len(f.faults.List()), tt.status, tt.on)
		}
	}
}

func TestRunsOverHTTPAreBounded(t *testing.T) {
	f := fake{faults: fault.NewSet(), runs: runs.NewList(2)}
	for _, key := range []string{"a", "b", "c"} {
		sequence := f.runs.Begin(runs.Run{IdempotencyKey: key})
		f.runs.End(sequence, runs.End{Completed: true, Tokens: 4})
	}
	w := httptest.NewRecorder()
	h := standin.Handler(map[string]standin.Standin{"s": f})
	h.ServeHTTP(w, httptest.NewRequest("GET", "/standin/s/runs", nil))
	var report runs.Report
	if err := json.NewDecoder(w.Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	if report.Dropped != 1 || len(report.Runs) != 2 || report.Runs[0].IdempotencyKey != "b" {
		t.Errorf("report %+v", report)
	}
	if want := (runs.Totals{Begun: 3, Completed: 3, Tokens: 12}); report.Totals != want {
		t.Errorf("totals %+v, want %+v", report.Totals, want)
	}
}
