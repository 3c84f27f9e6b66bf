package overload

import (
	"testing"
	"time"
)

// Guards against calls that yield although they can be on time, and against late calls that delay others.
func TestCallsExpectedToMissTheirObjectiveYield(t *testing.T) {
	const objective = 600 * time.Millisecond
	on := ObjectivePriority{OnTimeFraction: 0.6}
	for name, test := range map[string]struct {
		priority ObjectivePriority
		request  Request
		want     bool
	}{
		"on time":                  {on, Request{Objective: objective, QueueTime: 200 * time.Millisecond, OwnPrefill: 100 * time.Millisecond}, false},
		"a long queue":             {on, Request{Objective: objective, QueueTime: 500 * time.Millisecond}, true},
		"a prompt that takes long": {on, Request{Objective: objective, QueueTime: 100 * time.Millisecond, OwnPrefill: 400 * time.Millisecond}, true},
		"no objective":             {on, Request{QueueTime: time.Hour}, false},
		"off":                      {ObjectivePriority{}, Request{Objective: objective, QueueTime: time.Hour}, false},
	} {
		if got := test.priority.Yields(&test.request); got != test.want {
			t.Errorf("%s: yields %v, want %v", name, got, test.want)
		}
	}
}
