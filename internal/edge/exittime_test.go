package edge

import (
	"testing"
	"time"
)

// Guards against a process that is killed at the end of its grace time, since an overloaded machine
// delayed each step of its exit.
func TestProcessExitsEarlierOnAnOverloadedMachine(t *testing.T) {
	const (
		grace    = 3 * time.Second
		interval = 25 * time.Millisecond
	)
	calm := fraction(grace, maxStopFraction)
	for _, c := range []struct {
		name   string
		delays []time.Duration
		want   time.Duration
	}{
		{"no delay", []time.Duration{0, 0, 0}, calm},
		{"polls that are early", []time.Duration{-5 * time.Millisecond, -time.Millisecond, 0}, calm},
		{"one pause of the process", []time.Duration{0, time.Second, 0, 0}, calm},
		{
			"delays of 60 ms",
			[]time.Duration{20 * time.Millisecond, 80 * time.Millisecond, 60 * time.Millisecond},
			calm - exitSteps*60*time.Millisecond,
		},
		{
			"delays longer than the bound allows",
			[]time.Duration{time.Second, time.Second},
			fraction(grace, minMaxStopFraction),
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			exit := exitTime{grace: grace, lastPoll: now}
			for _, delay := range c.delays {
				now = now.Add(interval + delay)
				exit.observe(now, interval)
			}
			if got := exit.latest(); got != c.want {
				t.Errorf("exits after %s, want %s", got, c.want)
			}
		})
	}
}
