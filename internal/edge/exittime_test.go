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

// Guards against calls that are taken, or still in progress, when the process exits.
func TestStoppingNodeRefusesAndEndsCallsBeforeItExits(t *testing.T) {
	const grace = 8 * time.Second
	for _, delay := range []time.Duration{0, 60 * time.Millisecond, time.Second} {
		exit := exitTime{grace: grace, second: delay}
		var refusedAt, endedAt, exitsAt time.Duration
		for elapsed := time.Duration(0); exitsAt == 0; elapsed += stopPollInterval {
			step := exit.step(elapsed, false)
			if step.refuseAll && refusedAt == 0 {
				refusedAt = elapsed
			}
			if step.endCalls && endedAt == 0 {
				endedAt = elapsed
			}
			if step.exit {
				exitsAt = elapsed
			}
			if step.answerBy+endCallsBefore != exit.latest() {
				t.Fatalf("calls are answered by %s, the process exits at %s", step.answerBy, exit.latest())
			}
		}
		if refusedAt > endedAt-refuseBefore || endedAt > exitsAt-endCallsBefore || exitsAt > grace {
			t.Errorf("delay %s: refuses from %s, ends calls at %s, exits at %s", delay, refusedAt, endedAt, exitsAt)
		}
	}
	exit := exitTime{grace: grace}
	if early, late := exit.step(grace/2, true), exit.step(grace/2+1, true); early.refuseAll || !late.refuseAll {
		t.Error("an idle node does not refuse from half of its grace time on")
	}
}
