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
	name     string
	disabled router.DisabledFeatures
}

func scenario(p policy, pools int, load float64) Scenario {
	return Scenario{
		Name: p.name, Seed: compareSeed, Pools: pools, Replicas: 20, Slots: Knee / pools,
		Load: load, Duration: checkDuration, Disabled: p.disabled,
	}
}

func clairvoyantOf(s Scenario) Scenario {
	s.Name = "clairvoyant"
	s.Clairvoyant = true
	return s
}

// Each policy enables more features than the one before.
var (
	baseline           = policy{"baseline", router.Baseline}
	slack              = policy{"slack", router.DisabledFeatures{MinShare: true, LengthEstimates: true, Admission: true, FairShare: true, AdaptiveLimits: true, StragglerDetection: true, ExpectedFinish: true}}
	fairShare          = policy{"and fair share", router.DisabledFeatures{MinShare: true, LengthEstimates: true, Admission: true, AdaptiveLimits: true, StragglerDetection: true, ExpectedFinish: true}}
	minShare           = policy{"and minimum share", router.DisabledFeatures{LengthEstimates: true, Admission: true, AdaptiveLimits: true, StragglerDetection: true, ExpectedFinish: true}}
	estimates          = policy{"and estimates", router.DisabledFeatures{AdaptiveLimits: true, StragglerDetection: true, ExpectedFinish: true}}
	stragglerDetection = policy{"and stragglers", router.DisabledFeatures{AdaptiveLimits: true, ExpectedFinish: true}}
	expectedFinish     = policy{"and expected finish", router.DisabledFeatures{AdaptiveLimits: true}}
	allFeatures        = policy{"and learned limits", router.DisabledFeatures{}}
)

func runAndPrintRow(s Scenario) Outcome {
	s.Duration = tableDuration
	o := Run(s)
	fmt.Println(o.Row(s))
	return o
}

func BenchmarkTableLoad(_ *testing.B) {
	fmt.Println("\n" + TableHeader)
	for _, pools := range []int{1, 8} {
		for _, load := range []float64{0.7, 1.0, 1.5, 2.0} {
			for _, p := range []policy{baseline, slack, fairShare, minShare, estimates, stragglerDetection, expectedFinish, allFeatures} {
				runAndPrintRow(scenario(p, pools, load))
			}
			runAndPrintRow(clairvoyantOf(scenario(baseline, pools, load)))
		}
	}
}

func BenchmarkTableStragglers(_ *testing.B) {
	fmt.Println("\n" + TableHeader)
	for _, pools := range []int{1, 8} {
		for _, load := range []float64{0.7, 1.0, 2.0} {
			for _, p := range []policy{baseline, estimates, stragglerDetection, expectedFinish, allFeatures} {
				s := scenario(p, pools, load)
				without := runAndPrintRow(s)
				s.Stragglers = stragglers
				s.Name += ", 2 stragglers"
				with := runAndPrintRow(s)
				fmt.Printf("quick p99 ratio %.2f\n", with.Classes[0].LatencyQuantile(0.99)/without.Classes[0].LatencyQuantile(0.99))
			}
		}
	}
}

func BenchmarkTableLimits(_ *testing.B) {
	fmt.Println("\n" + TableHeader)
	for _, load := range []float64{1.0, 2.0} {
		for _, slots := range []int{2, 4, 8, 16} {
			for _, p := range []policy{expectedFinish, allFeatures} {
				s := scenario(p, 8, load)
				s.Slots = slots
				s.Name = fmt.Sprintf("%s, %d slots", s.Name, slots)
				runAndPrintRow(s)
			}
		}
	}
}

// BenchmarkTableHasty shows the effect of admission if many callers have short timeouts.
func BenchmarkTableHasty(_ *testing.B) {
	fmt.Println("\n" + TableHeader)
	for _, pools := range []int{1, 8} {
		for _, load := range []float64{1.0, 2.0} {
			for _, p := range []policy{{"without admission", router.DisabledFeatures{Admission: true}}, allFeatures} {
				s := scenario(p, pools, load)
				s.ShortTimeoutFraction = 0.2
				runAndPrintRow(s)
			}
		}
	}
}

// At twice the capacity, the highest tier must meet its target and goodput must be near the
// clairvoyant scheduler's.
func TestOverload(t *testing.T) {
	s := scenario(allFeatures, 8, overload)
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

// With one straggler in ten replicas, the p99 of tier 0 must stay within 1.5 times that without.
func TestStragglers(t *testing.T) {
	s := scenario(allFeatures, 8, 0.7)
	without := Run(s)
	s.Stragglers = stragglers
	with := Run(s)
	ratio := with.Classes[0].LatencyQuantile(0.99) / without.Classes[0].LatencyQuantile(0.99)
	if ratio > 1.5 {
		t.Errorf("p99 with stragglers = %.2f of that without, want at most 1.5", ratio)
	}
}

// A pool that starts with a limit far too high must reduce it.
func TestLimitsAreLearned(t *testing.T) {
	s := scenario(allFeatures, 8, overload)
	s.Slots = Knee
	o := Run(s)
	if got := o.Classes[0].Attainment(); got < 0.95 {
		t.Errorf("quick on target = %.3f, want at least 0.95", got)
	}
	if got := o.WastedFraction(); got > 0.035 {
		t.Errorf("wasted = %.3f, want at most 0.035", got)
	}
}
