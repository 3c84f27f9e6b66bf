package overload

import (
	"testing"
	"time"
)

// ofShare returns a request of the rank whose expected queue time is the given part of the allowed one.
func ofShare(rank int, share, part float64) Request {
	r := Request{Rank: rank, Objective: second, Share: share}
	r.QueueTime = time.Duration(part * float64(r.allowedQueueTime()))
	return r
}

func TestAllowedQueueTimeShrinksWithTheShare(t *testing.T) {
	for _, test := range []struct {
		share, part float64
		want        Reason
	}{
		{0, 0.9, ""}, {1, 0.9, ""}, {0.5, 0.4, ""}, {0.5, 0.6, AboveShare}, {0.1, 0.11, AboveShare}, {0.1, 0, ""}, {0.5, 1.1, TooLate},
	} {
		if got := new(Gate).Decide(start, ofShare(0, test.share, test.part)); got.Reason != test.want {
			t.Errorf("share %v, %v of the allowed queue time: reason %q, want %q", test.share, test.part, got.Reason, test.want)
		}
	}
	if got := new(Gate).Decide(start, Request{Share: 0.1, QueueTime: time.Hour}); got.Refused() {
		t.Errorf("without an objective: reason %q", got.Reason)
	}
}

// Guards against a workspace above its share that shuts out all less urgent requests: its refusals concern
// only workspaces above their share. A more urgent request is never refused for a less urgent one.
func TestRefusalOfAWorkspaceAboveItsShareConcernsOnlySuchWorkspaces(t *testing.T) {
	for _, part := range []float64{0.6, 2} {
		g := new(Gate)
		if got := g.Decide(start, ofShare(1, 0.5, part)); !got.Refused() {
			t.Fatalf("%v of the allowed queue time is admitted", part)
		}
		soon := start.Add(second / 2)
		if got := g.Decide(soon, ofShare(2, 1, 0.1)); got.Refused() {
			t.Errorf("less urgent, within its share: reason %q", got.Reason)
		}
		if got := g.Decide(soon, ofShare(3, 0.5, 0.1)); got.Reason != MoreUrgentRefused {
			t.Errorf("less urgent, above its share: reason %q", got.Reason)
		}
		if got := g.Decide(soon, ofShare(0, 0.5, 0.1)); got.Refused() {
			t.Errorf("more urgent, above its share: reason %q", got.Reason)
		}
	}
	g := new(Gate)
	g.Decide(start, ofShare(2, 1, 2))
	if got := g.Decide(start, ofShare(3, 0.5, 0.1)); got.Reason != MoreUrgentRefused {
		t.Errorf("above its share, after a refusal of one within its share: reason %q", got.Reason)
	}
}
