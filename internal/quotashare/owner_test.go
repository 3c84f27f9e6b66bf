package quotashare

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)
	four  = []string{"a", "b", "c", "d"}
	key   = KeyOf("tabkassza")
)

// settledOwner returns an owner that has known its members for long.
func settledOwner(live []string) (*Owner, time.Time) {
	o := NewOwner(Settings{})
	o.Handle(start, live[0], live, nil)
	return o, start.Add(time.Hour)
}

func share(o *Owner, now time.Time, node string, live []string, demand float64) Grant {
	return o.Handle(now, node, live, []Report{{Key: key, Demand: demand}})[0]
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestSharesAreInProportionAboveTheFloor(t *testing.T) {
	o, now := settledOwner(four)
	share(o, now, "a", four, 0.9)
	got := share(o, now, "b", four, 0.3)
	if !near(got.Share, 0.1/4+0.9*0.25) || !got.Contended {
		t.Errorf("b got %+v", got)
	}
	if got := share(o, now, "a", four, 0.9); !near(got.Share, 0.1/4+0.9*0.75) {
		t.Errorf("a got %+v", got)
	}
	if got := share(o, now, "a", four, 0.1); got.Contended {
		t.Errorf("contended with demands of 0.4 in all")
	}
}

// TestSharesAddUpToOne gives random demands of a random part of the nodes: once
// all have told them, their shares and the silent nodes' floor are the quota.
func TestSharesAddUpToOne(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		o, now := settledOwner(four)
		demands := make([]float64, len(four))
		sum := 0.0
		for round := range 2 {
			sum = 0
			for i, node := range four {
				if round == 0 && rng.IntN(3) > 0 {
					demands[i] = 2 * rng.Float64()
				}
				if demands[i] == 0 {
					sum += DefaultFloor / float64(len(four))
					continue
				}
				sum += share(o, now, node, four, demands[i]).Share
			}
		}
		if sum > 1+1e-9 || sum < 1-1e-9 && sum > DefaultFloor+1e-9 {
			t.Fatalf("demands %v: shares add up to %v", demands, sum)
		}
	}
}

func TestDemandsThatCountNoMore(t *testing.T) {
	alone := 0.1/4 + 0.9
	cases := []struct {
		name string
		live []string
		// told are the times of b's reports, then a asks at the time at.
		told []time.Duration
		last float64
		at   time.Duration
		want bool
	}{
		{"fresh", four, []time.Duration{0}, 1, time.Second, true},
		{"withdrawn", four, []time.Duration{0, time.Second}, 0, 2 * time.Second, false},
		{"lapsed", four, []time.Duration{0}, 1, DefaultLeaseTime, false},
		{"contended, out of reach", four, []time.Duration{0, 2 * time.Second}, 1, 20 * time.Second, false},
		{"contended, asks seldom", four, []time.Duration{0, 20 * time.Second}, 1, 60 * time.Second, true},
		{"gone", []string{"a", "c", "d", "e"}, []time.Duration{0}, 1, time.Hour, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			o, now := settledOwner(four)
			for i, told := range test.told {
				demand := 1.0
				if i == len(test.told)-1 {
					demand = test.last
				}
				share(o, now.Add(told), "b", four, demand)
			}
			got := share(o, now.Add(test.at), "a", test.live, 1)
			if counts := !near(got.Share, alone); counts != test.want {
				t.Errorf("a got %+v: b's demand counts: %v", got, counts)
			}
		})
	}
}

func TestNewOwnerGivesEvenSharesFirst(t *testing.T) {
	o, now := settledOwner(four)
	share(o, now, "a", four, 1)
	fewer := four[:3]
	other := KeyOf("other")
	got := o.Handle(now.Add(time.Second), "a", fewer, []Report{{Key: key, Demand: 1}, {Key: other, Demand: 1}})
	if !near(got[0].Share, 0.1/3+0.9) || !near(got[1].Share, 1.0/3) || !got[1].Contended {
		t.Errorf("known %+v, new %+v after a member went", got[0], got[1])
	}
	later := o.Handle(now.Add(time.Second+settleTime), "a", fewer, []Report{{Key: other, Demand: 1}})
	if !near(later[0].Share, 0.1/3+0.9) {
		t.Errorf("settled %+v", later[0])
	}
}

func TestOwnerIsBoundedAndForgets(t *testing.T) {
	o, now := settledOwner(four)
	for i := range maxWorkspaces + 10 {
		o.Handle(now, "a", four, []Report{{Key: Key(i), Demand: 1}})
	}
	if len(o.books) != maxWorkspaces {
		t.Errorf("%d books", len(o.books))
	}
	o.Sweep(now.Add(DefaultLeaseTime))
	if len(o.books) != 0 {
		t.Errorf("%d books after the lease", len(o.books))
	}
}
