package quotashare

import (
	"fmt"
	"testing"
	"time"
)

func need(owner string, demand float64) []Need {
	return []Need{{Workspace: "tabkassza", Owner: owner, Demand: demand}}
}

func shareOf(h *Holder, now time.Time) (share float64) {
	h.Shares(now, func(_ string, s float64) { share = s })
	return share
}

// granted returns a holder with a share of 0.8 that the owner b gave at start.
func granted(t *testing.T) *Holder {
	t.Helper()
	h := NewHolder("a", Settings{})
	plan := h.Plan(start, 4, need("b", 0.6), nil)
	if len(plan["b"]) != 1 || plan["b"][0] != (Report{Key: key, Demand: 0.6}) {
		t.Fatalf("plan %v", plan)
	}
	h.Apply(start, "b", plan["b"], []Grant{{Share: 0.8}})
	return h
}

func TestWhatIsReportedWhen(t *testing.T) {
	cases := []struct {
		name   string
		owner  string
		demand float64
		after  time.Duration
		want   bool
	}{
		{"the same", "b", 0.6, time.Minute, false},
		{"renewal", "b", 0.6, DefaultRenew, true},
		{"the share does not do", "b", 0.75, time.Second, true},
		{"at once again", "b", 0.75, time.Second / 2, false},
		{"much less, at once", "b", 0.1, time.Second, false},
		{"much less, for long", "b", 0.1, fallTime, true},
		{"another owner", "c", 0.6, time.Second / 2, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			h := granted(t)
			plan := h.Plan(start.Add(test.after), 4, need(test.owner, test.demand), nil)
			if got := len(plan[test.owner]) == 1; got != test.want {
				t.Errorf("plan %v", plan)
			}
		})
	}
}

func TestSilentBelowTheFloor(t *testing.T) {
	h := NewHolder("a", Settings{})
	for second := range 300 {
		now := start.Add(time.Duration(second) * time.Second)
		if plan := h.Plan(now, 4, need("b", 0.9*DefaultFloor/4), nil); len(plan) != 0 {
			t.Fatalf("after %d s: plan %v", second, plan)
		}
	}
	h.Plan(start.Add(time.Hour), 4, nil, nil)
	if h.Held() != 0 {
		t.Error("a workspace without demand is kept")
	}
}

func TestShareEndsWithoutTheOwner(t *testing.T) {
	h := granted(t)
	reports := []Report{{Key: key, Demand: 0.6}}
	if got := shareOf(h, start.Add(DefaultLeaseTime-1)); got != 0.8 {
		t.Errorf("share %v within the lease", got)
	}
	if got := shareOf(h, start.Add(DefaultLeaseTime)); got != 0 {
		t.Errorf("share %v after the lease", got)
	}
	h.Fail(start, "c", reports)
	h.Fail(start, "b", reports)
	if got := shareOf(h, start.Add(DefaultGrace-1)); got != 0.8 {
		t.Errorf("share %v within the grace", got)
	}
	if got := shareOf(h, start.Add(DefaultGrace)); got != 0 {
		t.Errorf("share %v after the grace", got)
	}
	if plan := h.Plan(start.Add(DefaultContended), 4, need("b", 0.6), nil); len(plan["b"]) != 1 {
		t.Errorf("plan %v after a failed report", plan)
	}
}

func TestLateAnswerOfTheOwnerBefore(t *testing.T) {
	h := granted(t)
	plan := h.Plan(start.Add(time.Second), 4, need("c", 0.6), nil)
	h.Apply(start.Add(time.Second), "b", plan["c"], []Grant{{Share: 0.1}})
	if got := shareOf(h, start.Add(time.Second)); got != 0.8 {
		t.Errorf("share %v", got)
	}
}

// TestBytesAreBounded has more to tell than the bytes allow, in each second:
// what is sent stays within them and everything gets its turn.
func TestBytesAreBounded(t *testing.T) {
	const owners, seconds = 40, 400
	h := NewHolder("a", Settings{})
	told := make(map[string]int)
	sent := 0
	for second := range seconds {
		now := start.Add(time.Duration(second) * time.Second)
		var needs []Need
		for i := range owners {
			needs = append(needs, Need{Workspace: fmt.Sprint(i), Owner: fmt.Sprint("vm-", i), Demand: 1})
		}
		for owner, reports := range h.Plan(now, owners, needs, nil) {
			told[owner]++
			sent += callBytes + reportBytes*len(reports)
			h.Apply(now, owner, reports, []Grant{{Share: 0.1, Contended: true}})
		}
	}
	if most := DefaultBytesPerSecond*(seconds+paceBurst) + callBytes + reportBytes; sent > most || sent < most*9/10 {
		t.Errorf("sent %d bytes, want up to %d", sent, most)
	}
	for i := range owners {
		if n := told[fmt.Sprint("vm-", i)]; n < seconds/owners/2 {
			t.Errorf("owner %d was told %d times", i, n)
		}
	}
}

func TestWire(t *testing.T) {
	reports := []Report{{Key: key, Demand: 0.25}, {Key: 1, Demand: 0}, {Key: 2, Demand: 1}}
	got := reportsOf(requestOf("a", reports))
	if fmt.Sprint(got) != fmt.Sprint(reports) {
		t.Errorf("reports %v", got)
	}
	if small := fromWire(toWire(1e-9)); small <= 0 {
		t.Error("a small demand is taken for none")
	}
	request := requestOf("a", reports)
	request.Demands = request.Demands[:1]
	if got := reportsOf(request); len(got) != 1 {
		t.Errorf("a request that lacks demands gives %v", got)
	}
	response := responseOf([]Grant{{Share: 0.5, Contended: true}, {Share: 1}})
	if got := grantsOf(response); got[0] != (Grant{Share: 0.5, Contended: true}) || got[1] != (Grant{Share: 1}) {
		t.Errorf("grants %v", got)
	}
}
