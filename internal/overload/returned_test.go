package overload

import "testing"

// Guards against newcomers that take the capacity of callers that return as told, and against refusals by an
// upstream with free capacity because returns are due.
func TestReturningCallerGoesBeforeNewcomersOfItsRank(t *testing.T) {
	queue := Request{Rank: 1, Objective: second, QueueTime: second, TimeLeft: 10 * second, Reserved: second}
	returned := queue
	returned.Returned = true
	for name, test := range map[string]struct {
		request Request
		want    Reason
	}{
		"newcomer":                        {queue, TooLate},
		"returned":                        {returned, ""},
		"newcomer at an empty queue":      {Request{Rank: 1, Objective: second, Reserved: second, OwnPrefill: 2 * second}, ""},
		"returned, but far too late":      {Request{Objective: second, QueueTime: 9 * second, Returned: true}, TooLate},
		"returned, but memory is full":    {Request{Objective: second, MemoryUsed: 0.9, Returned: true}, MemoryFull},
		"returned, some memory left":      {Request{Objective: second, MemoryUsed: 0.8, Returned: true}, ""},
		"newcomer, the same memory left":  {Request{Objective: second, MemoryUsed: 0.8}, MemoryFull},
		"newcomer without returns so due": {Request{Rank: 1, Objective: second, QueueTime: second, TimeLeft: 10 * second}, ""},
	} {
		if got := new(Gate).Decide(start, test.request); got.Reason != test.want {
			t.Errorf("%s: reason %q, want %q", name, got.Reason, test.want)
		}
	}
	g := new(Gate)
	g.Decide(start, Request{Rank: 0, Objective: second, QueueTime: 3 * second})
	if got := g.Decide(start, returned); got.Reason != MoreUrgentRefused {
		t.Errorf("a less urgent return after a more urgent refusal: reason %q", got.Reason)
	}
}
