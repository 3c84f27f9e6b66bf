package leaving

import (
	"testing"
	"time"
)

var start = time.UnixMilli(1_800_000_000_000)

func TestSignalsOfSources(t *testing.T) {
	const name = "tab-llm-3"
	at := func(d time.Duration) time.Time { return start.Add(d) }
	tests := []struct {
		title  string
		record func(s *Set)
		want   bool
	}{
		{"no signals", func(*Set) {}, false},
		{"engine is leaving", func(s *Set) { s.RecordEngine(start, start, name, true) }, true},
		{"engine serves again", func(s *Set) {
			s.RecordEngine(start, start, name, true)
			s.RecordEngine(at(time.Second), at(time.Second), name, false)
		}, false},
		{"report from before the refusal is ignored", func(s *Set) {
			s.RecordEngine(start, start, name, true)
			s.RecordEngine(at(time.Second), at(-time.Second), name, false)
		}, true},
		{"engine serves, operator drains", func(s *Set) {
			s.RecordOperator(start, name, true, 7)
			s.RecordEngine(at(time.Second), at(time.Second), name, false)
		}, true},
		{"older configuration is ignored", func(s *Set) {
			s.RecordOperator(start, name, true, 7)
			s.RecordOperator(at(time.Second), name, false, 6)
		}, true},
		{"newer configuration ends the drain", func(s *Set) {
			s.RecordOperator(start, name, true, 7)
			s.RecordOperator(at(time.Second), name, false, 8)
		}, false},
		{"serving in a list that never said leaving is ignored", func(s *Set) {
			s.Merge(start, Signal{name, SourceInstances, true, start.UnixMilli(), at(SignalTTL)})
			s.RecordInstance(at(time.Second), name, false)
		}, true},
		{"list clears its own signal", func(s *Set) {
			s.RecordInstance(start, name, true)
			s.RecordInstance(at(time.Second), name, false)
		}, false},
		{"older signal of a peer is ignored", func(s *Set) {
			s.RecordEngine(start, start, name, true)
			s.Merge(start, Signal{name, SourceEngine, false, start.UnixMilli() - 1, at(SignalTTL)})
		}, true},
		{"expired signal is ignored", func(s *Set) {
			s.RecordEngine(at(-SignalTTL), at(-SignalTTL), name, true)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.title, func(t *testing.T) {
			s := NewSet()
			test.record(s)
			if got := s.Leaving(at(2*time.Second), name); got != test.want {
				t.Errorf("leaving is %v, want %v", got, test.want)
			}
		})
	}
}

func TestRepeatedSignalsAreNotPublished(t *testing.T) {
	s := NewSet()
	published := 0
	for i := range 3600 {
		if _, publish := s.RecordEngine(start.Add(time.Duration(i)*time.Second), start, "r", true); publish {
			published++
		}
	}
	if want := int(time.Hour / (SignalTTL / 2)); published > want {
		t.Errorf("%d signals published in an hour, want at most %d", published, want)
	}
	if !s.Leaving(start.Add(time.Hour), "r") {
		t.Error("the signal was not renewed")
	}
}

func TestSetIsBounded(t *testing.T) {
	s := NewSet()
	for i := range MaxSignals + 10 {
		s.Merge(start, Signal{string(rune(i)), SourceEngine, true, 1, start.Add(time.Minute)})
	}
	if len(s.signals) != MaxSignals {
		t.Errorf("%d signals, want %d", len(s.signals), MaxSignals)
	}
	if !s.Merge(start.Add(time.Hour), Signal{"new", SourceEngine, true, 1, start.Add(2 * time.Hour)}) {
		t.Error("expired signals were not evicted")
	}
}
