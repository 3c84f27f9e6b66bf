package explain

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

const testBytes = 64 << 10

func newTestRecorder() *Recorder {
	return NewRecorder(start, testBytes, prometheus.NewRegistry())
}

func TestTimelinesAreBoundedAndTheOldestGoFirst(t *testing.T) {
	r := newTestRecorder()
	const requests = 2000
	var timelines []*Timeline
	for i := range requests {
		at := start.Add(time.Duration(i) * time.Second)
		s := r.Begin(at, fmt.Sprint("vm-0.", i), &Received{Class: "counter"})
		s.Add(at, NewEnded(1, "replica", "call", 0, errors.New(strings.Repeat("x", 10*maxText))))
		timelines = append(timelines, s)
		if used := testutil.ToFloat64(r.bytes); used > testBytes {
			t.Fatalf("%v bytes after %d requests, want at most %d", used, i, testBytes)
		}
	}
	kept, lastGone := 0, -1
	for i := range requests {
		if _, ok := r.Find(fmt.Sprint("vm-0.", i)); ok {
			kept++
		} else {
			lastGone = i
		}
	}
	evicted := int(testutil.ToFloat64(r.evicted))
	if kept == 0 || kept+evicted != requests || lastGone < evicted-1 {
		t.Errorf("%d kept, %d evicted, the newest of them %d of %d", kept, evicted, lastGone, requests)
	}
	used := testutil.ToFloat64(r.bytes)
	timelines[0].Add(start, &Answered{})
	if _, ok := r.Find("vm-0.0"); ok || testutil.ToFloat64(r.bytes) != used {
		t.Error("an evicted timeline took another event")
	}
	if oldest := r.Oldest(); !oldest.After(start) {
		t.Errorf("oldest %v, want one after %v", oldest, start)
	}
}

func TestAFullTimelineKeepsItsEnd(t *testing.T) {
	r := newTestRecorder()
	s := r.Begin(start, "vm-0.a", &Received{})
	for i := range 3 * maxEvents {
		s.Add(start, &Queued{Attempt: i})
	}
	s.Add(start.Add(time.Second), &Answered{Tokens: 7, Whole: -1500 * time.Millisecond, First: time.Second, HasFirst: true})
	lines, ok := r.Find("vm-0.a")
	if !ok || len(lines) != maxEvents+2 {
		t.Fatalf("%d lines, want %d", len(lines), maxEvents+2)
	}
	end := lines[maxEvents]
	if end.Decision != "answered late" || !strings.Contains(end.Reason, "1.5s after its target, first token 1s before") || !end.At.Equal(start.Add(time.Second)) {
		t.Errorf("end %+v", end)
	}
	if lines[maxEvents+1].Decision != "events left out" {
		t.Errorf("no word of the events left out: %+v", lines[maxEvents+1])
	}
}

func BenchmarkTimeline(b *testing.B) {
	r := NewRecorder(start, DefaultMaxBytes, prometheus.NewRegistry())
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s := r.Begin(start, fmt.Sprint("vm-0.", i), &Received{Class: "counter", Workspace: "prairie-spoke"})
		s.Add(start, &Queued{Attempt: 1, Upstream: "trestle-llm"})
		s.Add(start, &Bound{Attempt: 1, Replica: "trestle-llm-1"})
		s.Add(start, &Started{Attempt: 1, Peer: "127.0.0.1:43637"})
		s.Add(start, &FirstToken{Attempt: 1, Peer: "127.0.0.1:43637"})
		s.Add(start, NewEnded(1, "127.0.0.1:43637", "", 12, nil))
		s.Add(start, &Answered{Tokens: 12})
	}
	kept := 0
	for i := range r.shards {
		kept += r.shards[i].order.Len()
	}
	b.ReportMetric(float64(kept), "timelines_kept")
}
