package service

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/config"
	"galenatrestle/internal/standin/fault"
	"galenatrestle/internal/testnet"
)

func call(t *testing.T, client *http.Client, key, body string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://service/claims/7", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.GetBody = nil // or the client itself repeats calls that have a key
	request.Header.Set("Idempotency-Key", key)
	return client.Do(request)
}

func TestRunsAndEchoes(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		s := New(Options{Name: "ledger-1", Latency: 5 * time.Millisecond})
		client := testnet.Serve(t, s)
		for run := int64(1); run <= 2; run++ {
			start := time.Now()
			response, err := call(t, client, "k1", `{"part":"sensor"}`)
			if err != nil {
				t.Fatal(err)
			}
			var echo Echo
			if err := json.NewDecoder(response.Body).Decode(&echo); err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			if time.Since(start) != 5*time.Millisecond {
				t.Errorf("took %v", time.Since(start))
			}
			if echo.Run != run || echo.Path != "/claims/7" || echo.IdempotencyKey != "k1" || string(echo.Body) != `{"part":"sensor"}` {
				t.Errorf("echo %+v", echo)
			}
		}
		report := s.Runs().Report()
		if len(report.Runs) != 2 || report.Runs[1].IdempotencyKey != "k1" || !report.Runs[1].Completed {
			t.Errorf("report %+v", report)
		}
	})
}

func TestFaults(t *testing.T) {
	tests := []struct {
		kind     fault.Kind
		status   int // 0: the connection breaks
		runs     int64
		takes    time.Duration
		lastsFor time.Duration
	}{
		{kind: fault.Refuse, status: http.StatusServiceUnavailable, runs: 0, lastsFor: time.Minute},
		{kind: fault.Leaving, status: http.StatusServiceUnavailable, runs: 0, lastsFor: time.Minute},
		{kind: fault.CrashMidAnswer, runs: 1, lastsFor: time.Minute},
		{kind: fault.Hang, status: http.StatusOK, runs: 1, takes: time.Minute, lastsFor: time.Minute},
	}
	for _, tt := range tests {
		t.Run(string(tt.kind), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				s := New(Options{Name: "ledger-1"})
				client := testnet.Serve(t, s)
				if err := s.Faults().Switch(fault.Spec{Kind: tt.kind, For: config.Duration(tt.lastsFor)}); err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				response, err := call(t, client, "k1", "x")
				status := 0
				if err == nil {
					status = response.StatusCode
					response.Body.Close()
				}
				if status != tt.status || time.Since(start) < tt.takes {
					t.Errorf("status %d after %v, want %d after %v", status, time.Since(start), tt.status, tt.takes)
				}
				if totals := s.Runs().Report().Totals; totals.Begun != tt.runs || totals.Completed != tt.runs {
					t.Errorf("totals %+v, want %d", totals, tt.runs)
				}
				time.Sleep(tt.lastsFor)
				response, err = call(t, client, "k2", "x")
				if err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("after the fault: %v %v", response, err)
				}
				response.Body.Close()
			})
		})
	}
}
