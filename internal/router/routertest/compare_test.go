package routertest

import (
	"fmt"
	"testing"
	"time"

	"galenatrestle/internal/router"
)

const (
	tableDuration = 400 * time.Second
	checkDuration = 240 * time.Second
	compareSeed   = 7
	overload      = 2.0
	stragglers    = 2
)

type policy struct {
	name    string
	without router.Features
}

func scenario(p policy, pools int, load float64) Scenario {
	return Scenario{
		Name: p.name, Seed: compareSeed, Pools: pools, Replicas: 20, Slots: Knee / pools,
		Load: load, Duration: checkDuration, Disabled: p.without,
	}
}

func clairvoyantOf(s Scenario) Scenario {
	s.Name = "clairvoyant"
	s.Clairvoyant = true
	return s
}

// The policies that are compared; each adds to the one before.
var (
	baseline  = policy{"baseline", router.Baseline}
	slack     = policy{"slack", router.Features{MinShare: true, LengthEstimates: true, Admission: true, FairShare: true, AdaptiveLimits: true, StragglerDetection: true, ExpectedFinish: true}}
	fair      = policy{"and fair share", router.Features{MinShare: true, LengthEstimates: true, Admission: true, AdaptiveLimits: true, StragglerDetection: true, ExpectedFinish: true}}
	share     = policy{"and minimum share", router.Features{LengthEstimates: true, Admission: true, AdaptiveLimits: true, StragglerDetection: true, ExpectedFinish: true}}
	estimates = policy{"and estimates", router.Features{AdaptiveLimits: true, StragglerDetection: true, ExpectedFinish: true}}
	straggler = policy{"and stragglers", router.Features{AdaptiveLimits: true, ExpectedFinish: true}}
	finish    = policy{"and expected finish", router.Features{AdaptiveLimits: true}}
	all       = policy{"and learned limits", router.Features{}}
)

func printRow(s Scenario) Outcome {
	s.Duration = tableDuration
	o := Run(s)
	fmt.Println(o.Row(s))
	return o
}

// BenchmarkTableLoad prints the policies at one and eight pools.
func BenchmarkTableLoad(_ *testing.B) {
	fmt.Println("\n" + TableHeader)
	for _, pools := range []int{1, 8} {
		for _, load := range []float64{0.7, 1.0, 1.5, 2.0} {
			for _, p := range []policy{baseline, slack, fair, share, estimates, straggler, finish, all} {
				printRow(scenario(p, pools, load))
			}
			printRow(clairvoyantOf(scenario(baseline, pools, load)))
		}
	}
}

// BenchmarkTableStragglers prints the policies without and with stragglers.
func BenchmarkTableStragglers(_ *testing.B) {
	fmt.Println("\n" + TableHeader)
	for _, pools := range []int{1, 8} {
		for _, load := range []float64{0.7, 1.0, 2.0} {
			for _, p := range []policy{baseline, estimates, straggler, finish, all} {
				s := scenario(p, pools, load)
				without := printRow(s)
				s.Stragglers = stragglers
				s.Name += ", 2 stragglers"
				with := printRow(s)
				fmt.Printf("quick p99 ratio %.2f\n", with.Classes[0].LatencyQuantile(0.99)/without.Classes[0].LatencyQuantile(0.99))
			}
		}
	}
}

// BenchmarkTableLimits prints fixed and learned limits by the slots to start with.
func BenchmarkTableLimits(_ *testing.B) {
	fmt.Println("\n" + TableHeader)
	for _, load := range []float64{1.0, 2.0} {
		for _, slots := range []int{2, 4, 8, 16} {
			for _, p := range []policy{finish, all} {
				s := scenario(p, 8, load)
				s.Slots = slots
				s.Name = fmt.Sprintf("%s, %d slots", s.Name, slots)
				printRow(s)
			}
		}
	}
}

// BenchmarkTableHasty prints what refusing the hopeless is worth where one
// request in five is of use for a short time only.
func BenchmarkTableHasty(_ *testing.B) {
	fmt.Println("\n" + TableHeader)
	for _, pools := range []int{1, 8} {
		for _, load := range []float64{1.0, 2.0} {
			for _, p := range []policy{{"all hopeful", router.Features{Admission: true}}, all} {
				s := scenario(p, pools, load)
				s.ShortTimeoutFraction = 0.2
				printRow(s)
			}
		}
	}
}

// At twice the capacity and without coordination, the highest tier must stay on
// target and the goodput near that of the clairvoyant order.
func TestOverload(t *testing.T) {
	s := scenario(all, 8, overload)
	o := Run(s)
	best := Run(clairvoyantOf(s))
	if got := o.Classes[0].Attainment(); got < 0.99 {
		t.Errorf("quick on target = %.3f, want at least 0.99", got)
	}
	if got := o.Goodput() / best.Goodput(); got < 0.95 {
		t.Errorf("goodput = %.3f of the clairvoyant's, want at least 0.95", got)
	}
	if got := o.WastedFraction(); got > 0.035 {
		t.Errorf("wasted = %.3f, want at most 0.035", got)
	}
	for _, class := range o.Classes {
		if class.Answered == 0 {
			t.Errorf("class %s was never answered", class.Name)
		}
	}
}

// With one replica in ten a ten times slower straggler, tier 0's 99th
// percentile must stay within 1.5 of the run without.
func TestStragglers(t *testing.T) {
	s := scenario(all, 8, 0.7)
	without := Run(s)
	s.Stragglers = stragglers
	with := Run(s)
	ratio := with.Classes[0].LatencyQuantile(0.99) / without.Classes[0].LatencyQuantile(0.99)
	if ratio > 1.5 {
		t.Errorf("p99 with stragglers = %.2f of that without, want at most 1.5", ratio)
	}
}

// A node that starts with far too many slots must find the knee.
func TestLimitsAreLearned(t *testing.T) {
	s := scenario(all, 8, overload)
	s.Slots = Knee
	o := Run(s)
	if got := o.Classes[0].Attainment(); got < 0.95 {
		t.Errorf("quick on target = %.3f, want at least 0.95", got)
	}
	if got := o.WastedFraction(); got > 0.035 {
		t.Errorf("wasted = %.3f, want at most 0.035", got)
	}
}
