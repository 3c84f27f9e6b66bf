package nodesync

import (
	"testing"
	"time"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/replica"
)

// TestPartGrowsAtOnceAndShrinksSlowly replays a burst that occupies forty replicas for ten
// seconds.
func TestPartGrowsAtOnceAndShrinksSlowly(t *testing.T) {
	var demand partDemand
	began := time.Unix(1000, 0)
	size := func(second int) int {
		occupied := 2.0
		if second >= 10 && second < 20 {
			occupied = 40
		}
		sizes := demand.observe(began.Add(time.Duration(second)*time.Second), map[string]float64{"u": occupied})
		return max(sizes["u"], replica.MinPartSize)
	}
	var bySecond []int
	for second := range 200 {
		bySecond = append(bySecond, size(second))
	}
	if bySecond[9] != replica.MinPartSize || bySecond[10] < 40*partMargin || bySecond[25] != bySecond[10] || bySecond[199] != replica.MinPartSize {
		t.Errorf("sizes before, in, shortly after and long after the burst: %d, %d, %d, %d", bySecond[9], bySecond[10], bySecond[25], bySecond[199])
	}
	for second := 11; second < len(bySecond); second++ {
		if bySecond[second] < bySecond[second-1]/2 {
			t.Errorf("second %d: part shrinks from %d to %d", second, bySecond[second-1], bySecond[second])
		}
	}
}

// TestPartSizeDoesNotAlternate guards against replacing half of a part each time that the demand
// crosses a limit.
func TestPartSizeDoesNotAlternate(t *testing.T) {
	var demand partDemand
	changes, last := 0, 0
	for second := range 300 {
		occupied := 8.0
		if second%40 < 20 {
			occupied = 8.2
		}
		sizes := demand.observe(time.Unix(int64(second), 0), map[string]float64{"u": occupied})
		if sizes["u"] != last {
			changes, last = changes+1, sizes["u"]
		}
	}
	if changes > 1 {
		t.Errorf("the size changed %d times", changes)
	}
}

func TestDemandCountsOwnZoneOnly(t *testing.T) {
	used := map[string]replica.Replica{"a": {ID: "a", Upstream: "u", AvailabilityZone: "z0"}, "b": {ID: "b", Upstream: "u", AvailabilityZone: "z1"}}
	loads := []placement.Load{{Replica: "a", Running: 24, RunningShort: 20}, {Replica: "b", Running: 4}, {Replica: "c", Running: 4}}
	if demand := zoneDemand(loads, used, "z0"); demand["u"] != 2 || len(demand) != 1 {
		t.Errorf("demand %v, want 2 replicas of u", demand)
	}
}
