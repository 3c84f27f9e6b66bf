package replicaspeed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 3, 6, 20, 0, 0, 0, time.UTC)

// fleet is replicas observed by one node every 20 ms.
type fleet struct {
	upstream  *Upstream
	estimates []*Estimate
	random    *rand.Rand
	now       time.Time
}

func newFleet(replicas int) *fleet {
	f := &fleet{upstream: NewUpstream(DefaultHalfLife), random: rand.New(rand.NewPCG(1, 1)), now: start}
	for range replicas {
		f.estimates = append(f.estimates, &Estimate{})
	}
	return f
}

// run observes answers of replicas with the speeds; zero: the replica gets none.
func (f *fleet) run(d time.Duration, speeds ...float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(20 * time.Millisecond) {
		f.upstream.Refresh(f.now, f.estimates, nil)
		for i, speed := range speeds {
			if speed == 0 || f.random.Float64() > 0.2 {
				continue
			}
			noise := math.Exp(0.5 * f.random.NormFloat64())
			f.upstream.ObservePrefill(f.estimates[i], 100, 100/speed*noise, 0.7)
			gap := time.Duration(20 / speed * float64(time.Millisecond))
			f.upstream.ObserveGap(f.estimates[i], Load{Running: 0.3}, gap, 4*gap)
		}
	}
	f.upstream.Refresh(f.now, f.estimates, nil)
}

func TestFactorsAreRelativeToTheMeanAndDoNotDrift(t *testing.T) {
	f := newFleet(4)
	for range 10 {
		f.run(6*time.Second, 0.55, 1.2, 1.2, 1.2)
		for kind := range kinds {
			if ratio := f.estimates[1].Factor(kind) / f.estimates[0].Factor(kind); ratio < 1.6 || ratio > 2.8 {
				t.Errorf("%s: ratio of factors %.2f, want about 2.2", kind, ratio)
			}
			sum := Observed{}
			for _, e := range f.estimates {
				w := e.sums[kind].Weight
				sum = sum.Plus(Observed{w / (w + 1), w / (w + 1) * e.logs[kind]})
			}
			if mean := sum.mean(); math.Abs(mean) > 0.1 {
				t.Errorf("%s: mean logarithm %.3f, want 0", kind, mean)
			}
		}
	}
}

func TestReplicaThatTurnsSlowIsFoundWithinASecondAndIsForgottenWithoutAnswers(t *testing.T) {
	f := newFleet(4)
	f.run(5*time.Second, 1, 1, 1, 1)
	f.run(time.Second, 0.2, 1, 1, 1)
	if got := f.estimates[0].DecodeFactor() / f.estimates[1].DecodeFactor(); got > 0.36 {
		t.Errorf("%.2f of the others' decode factor after 1 s of a fifth of the speed", got)
	}
	f.run(6*time.Second, 0, 1, 1, 1)
	if got := f.estimates[0].DecodeFactor(); got < 0.6 {
		t.Errorf("decode factor %.2f without an answer for 6 s, want nearly 1", got)
	}
}

// Guards against an answer that is still missing not counting before it arrives.
func TestOverdueAnswersCount(t *testing.T) {
	f := newFleet(2)
	f.run(3*time.Second, 1, 1)
	for range 4 {
		f.upstream.AddOverdue(f.estimates[0], 100, 800, 0.8)
		f.upstream.AddOverdueGap(f.estimates[0], Load{Running: 0.3}, 400*time.Millisecond)
	}
	f.upstream.Refresh(f.now, f.estimates, nil)
	if p, d := f.estimates[0].PrefillFactor(), f.estimates[0].DecodeFactor(); p > 0.8 || d > 0.7 {
		t.Errorf("factors %.2f, %.2f with overdue answers", p, d)
	}
}

// Guards against one answer to a prompt that was cached, and a node with wrong values, deciding.
func TestWrongValuesHaveABoundedEffect(t *testing.T) {
	f := newFleet(8)
	f.run(5*time.Second, 1, 1, 1, 1, 1, 1, 1, 1)
	before := f.estimates[0].PrefillFactor()
	f.upstream.ObservePrefill(f.estimates[0], 1000, 1, 1)
	f.upstream.Refresh(f.now, f.estimates, nil)
	if got := f.estimates[0].PrefillFactor(); got > 1.35*before {
		t.Errorf("factor %.2f after one cached prompt, %.2f before", got, before)
	}
	wrong := Observed{Weight: 1e9, LogSum: math.NaN()}.BoundedNode()
	if wrong != (Observed{}) {
		t.Errorf("not a number is taken: %+v", wrong)
	}
	if got := (Observed{Weight: 1e9, LogSum: 1e12}).BoundedNode(); got.Weight > maxNodeWeight || got.mean() > maxLog {
		t.Errorf("unbounded: %+v", got)
	}
	if got := (Observed{Weight: 1, LogSum: 1}).Minus(Observed{Weight: 2, LogSum: 0}); got != (Observed{}) {
		t.Errorf("negative weight: %+v", got)
	}
}

// Guards against load being taken for slowness.
func TestSlowdownByLoadIsThatOfTheUpstream(t *testing.T) {
	f := newFleet(6)
	for range 3000 {
		i := f.random.IntN(6)
		running := float64(i) / 6
		gap := time.Duration((20 + 60*running) * float64(time.Millisecond))
		f.upstream.ObserveGap(f.estimates[i], Load{Running: running}, gap, 4*gap)
		f.now = f.now.Add(5 * time.Millisecond)
		f.upstream.Refresh(f.now, f.estimates, nil)
	}
	for i, e := range f.estimates {
		if got := e.DecodeFactor(); got < 0.75 || got > 1.33 {
			t.Errorf("replica %d, loaded by %.2f: decode factor %.2f, want about 1", i, float64(i)/6, got)
		}
	}
}

func TestGapsIgnoreTheLongestPausesAndParts(t *testing.T) {
	var g Gaps
	now := start
	for i, gap := range []int{0, 20, 400, 0, 20} {
		now = now.Add(time.Duration(gap) * time.Millisecond)
		if typical, _ := g.Add(now); i > 0 && typical > 0 && typical != 20*time.Millisecond {
			t.Errorf("event %d: typical pause %s, want 20ms", i, typical)
		}
	}
}

func TestClassChangesOnlyAfterASecond(t *testing.T) {
	f := newFleet(4)
	f.run(4*time.Second, 1, 1, 1, 1)
	changes := 0
	for range 100 {
		f.run(20*time.Millisecond, 0.3, 1, 1, 1)
		f.upstream.Refresh(f.now, f.estimates, func(i int, before Class) { changes++ })
	}
	if f.estimates[0].Class() != Slow || changes > 1 {
		t.Errorf("class %s after 2 s, %d changes", f.estimates[0].Class(), changes)
	}
}
