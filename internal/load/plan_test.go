package load

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

const small = `
name: small
seed: 3
duration: 10s
classes:
  - {name: counter, tier: 0, target_first_token: 500ms, target_answer: 2s}
streams:
  - name: shops
    workspace: w
    key: k
    class: counter
    model: tab-llm
    prompt: {median: 10, sigma: 0.5}
    answer: {median: 5}
    rate:
      - {at: 0s, per_second: 100}
      - {at: 5s, per_second: 400}
  - name: claims
    workspace: w
    key: k
    class: counter
    service: {upstream: ledger, method: POST, path: /claims, unrepeatable: true}
    rate:
      - {at: 1s, per_second: 10}
`

func parse(t *testing.T, text string) *Workload {
	t.Helper()
	w, err := ParseWorkload([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func TestPlanFollowsTheRatesAndTheSeed(t *testing.T) {
	w := parse(t, small)
	requests := Plan(w)
	if !reflect.DeepEqual(requests, Plan(w)) {
		t.Error("the same workload gave two plans")
	}
	counts := make(map[string]int)
	for i, r := range requests {
		if i > 0 && r.At < requests[i-1].At {
			t.Fatalf("request %d comes before the one in front of it", i)
		}
		counts[r.Stream.Name+map[bool]string{true: " late", false: " early"}[r.At >= 5*time.Second]]++
	}
	// Four standard deviations of a Poisson count around its mean.
	for name, bounds := range map[string][2]int{
		"shops early":  {410, 590},
		"shops late":   {1821, 2179},
		"claims early": {14, 66},
	} {
		if count := counts[name]; count < bounds[0] || count > bounds[1] {
			t.Errorf("%s: %d arrivals, want %v", name, count, bounds)
		}
	}
	w.Seed++
	if reflect.DeepEqual(requests, Plan(w)) {
		t.Error("another seed gave the same plan")
	}
}

func TestRareArrivalsDoNotOverflow(t *testing.T) {
	w := parse(t, strings.Replace(small, "per_second: 10}", "per_second: 1e-300}", 1))
	for _, r := range Plan(w) {
		if r.Stream.Service != nil {
			t.Fatalf("a request every 1e300 seconds came at %v", r.At)
		}
	}
}

func TestDemandFollowsTheScale(t *testing.T) {
	w := parse(t, small)
	once := Demand(w, Plan(w))
	// 2,500 chats of 5 tokens in 10 s; four standard deviations around it.
	if once < 1150 || once > 1350 {
		t.Errorf("demand %v tokens/s, want about 1250", once)
	}
	w.Scale(2)
	if twice := Demand(w, Plan(w)); twice < 1.85*once || twice > 2.15*once {
		t.Errorf("demand %v tokens/s at twice the rate, %v at once", twice, once)
	}
}

func TestStampOnlyUnrepeatableCalls(t *testing.T) {
	requests := Plan(parse(t, small))
	Stamp(requests, "run")
	for _, r := range requests {
		if got, want := r.IdempotencyKey != "", r.Stream.Service != nil; got != want {
			t.Fatalf("%s: key %q", r.Name, r.IdempotencyKey)
		}
	}
}

func TestWorkloadErrorsNameLineAndField(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown field", "seed: 3", "sead: 3", "line 3"},
		{"unknown class", "class: counter\n    model", "class: other\n    model", `streams[0].class: value "other"`},
		{"model and service", "service: {", "model: x\n    service: {", "streams[1].model"},
		{"no duration", "duration: 10s\n", "", "duration"},
		{"times shrink", "at: 5s", "at: 0s", "streams[0].rate[1].at"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseWorkload([]byte(strings.Replace(small, tt.old, tt.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error %v, want %q in it", err, tt.want)
			}
		})
	}
}

func TestBenchWorkloadsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../bench/*.yaml")
	if err != nil || len(files) < 4 {
		t.Fatalf("found %d workloads, %v", len(files), err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		w, err := ParseWorkload(data)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if len(Plan(w)) == 0 {
			t.Errorf("%s: no requests", file)
		}
	}
}
