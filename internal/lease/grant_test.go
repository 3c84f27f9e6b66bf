package lease

import (
	"testing"
	"time"

	"galenatrestle/internal/platform"
)

func TestGrant(t *testing.T) {
	settings := DefaultSettings(16 * time.Second)
	sentAt := time.Now()
	// wall returns a time without a monotonic reading.
	wall := func(after time.Duration) time.Time { return sentAt.Round(0).Add(after) }
	tests := []struct {
		name   string
		checks []time.Duration
		last   time.Time
		want   EndReason
	}{
		{name: "in force", checks: []time.Duration{time.Second}, last: sentAt.Add(2 * time.Second)},
		{name: "a gap up to the bound", last: sentAt.Add(settings.PauseBound)},
		{name: "a gap over the bound", last: sentAt.Add(settings.PauseBound + 1), want: EndPaused},
		{name: "a gap over the bound by the wall clock", last: wall(settings.PauseBound + 1), want: EndPaused},
		{name: "a gap up to the bound by the wall clock", last: wall(settings.PauseBound)},
		{name: "just usable", checks: checksUntil(settings.usable()), last: sentAt.Add(settings.usable() - 1)},
		{name: "margin reached", checks: checksUntil(settings.usable()), last: sentAt.Add(settings.usable()), want: EndLapsed},
		{name: "an ended grant stays ended", checks: []time.Duration{time.Minute}, last: sentAt, want: EndPaused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGrant(settings, platform.Lease{Epoch: 1}, sentAt, sentAt)
			for _, check := range test.checks {
				g.check(settings, sentAt.Add(check))
			}
			if held := g.check(settings, test.last); held != (test.want == "") || g.endReason != test.want {
				t.Errorf("held %v, ended %q, want %q", held, g.endReason, test.want)
			}
		})
	}
}

// checksUntil returns one check for each second until end.
func checksUntil(end time.Duration) (checks []time.Duration) {
	for at := time.Second; at < end; at += time.Second {
		checks = append(checks, at)
	}
	return checks
}

func TestSettingsCheck(t *testing.T) {
	if err := DefaultSettings(10 * time.Second).Check(); err != nil {
		t.Error(err)
	}
	changes := map[string]func(*Settings){
		"no margin":         func(s *Settings) { s.Margin = 0 },
		"margin over lease": func(s *Settings) { s.Margin = s.TTL },
		"renewal too late":  func(s *Settings) { s.RenewEvery = s.TTL - s.Margin - s.CallTimeout },
	}
	for name, change := range changes {
		s := DefaultSettings(10 * time.Second)
		change(&s)
		if s.Check() == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}
