package routertest

import (
	"flag"
	"testing"
	"time"

	"galenatrestle/internal/router"
)

var table = flag.Bool("table", false, "print the whole comparison; takes minutes")

const (
	tableDuration = 400 * time.Second
	checkDuration = 240 * time.Second
	compareSeed   = 7
	overload      = 2.0
)

type policy struct {
	name    string
	without router.Features
}

func scenario(p policy, pools int, load float64) Scenario {
	return Scenario{
		Name: p.name, Seed: compareSeed, Pools: pools, Replicas: 20, Slots: Knee / pools,
		Load: load, Duration: checkDuration, Without: p.without,
	}
}

func clairvoyantOf(s Scenario) Scenario {
	s.Name = "clairvoyant"
	s.Clairvoyant = true
	return s
}

func TestCompare(t *testing.T) {
	if !*table {
		t.Skip("prints tables; run with -table")
	}
	policies := []policy{
		{"baseline", router.Baseline},
		{"slack", router.Features{MinShare: true, Estimates: true, FairShare: true}},
		{"slack, fair share", router.Features{MinShare: true, Estimates: true}},
		{"slack, fair share, min share", router.Features{Estimates: true}},
		{"all", router.Features{}},
	}
	t.Log("\n" + TableHead)
	for _, pools := range []int{1, 8} {
		for _, load := range []float64{0.7, 1.0, 1.5, 2.0} {
			var s Scenario
			for _, p := range policies {
				s = scenario(p, pools, load)
				s.Duration = tableDuration
				o := Run(s)
				t.Log("\n" + o.Row(s))
			}
			s = clairvoyantOf(s)
			o := Run(s)
			t.Log("\n" + o.Row(s))
		}
	}
}

// At twice the capacity and without coordination, the highest tier must stay on
// target and the goodput near that of the clairvoyant order.
func TestOverload(t *testing.T) {
	s := scenario(policy{"all", router.Features{}}, 8, overload)
	o := Run(s)
	best := Run(clairvoyantOf(s))
	if got := o.Classes[0].Attainment(); got < 0.99 {
		t.Errorf("quick on target = %.3f, want at least 0.99", got)
	}
	if got := o.Goodput() / best.Goodput(); got < 0.95 {
		t.Errorf("goodput = %.3f of the clairvoyant's, want at least 0.95", got)
	}
	if got := o.Wasted(); got > 0.035 {
		t.Errorf("wasted = %.3f, want at most 0.035", got)
	}
	for _, class := range o.Classes {
		if class.Answered == 0 {
			t.Errorf("class %s was never answered", class.Name)
		}
	}
}
