package credit

import (
	"testing"
	"time"
)

// TestHighTierIsServedWhereverItArrives sends all tier 0 requests to two of eight
// nodes at 1.5 times the capacity. Credits must give these nodes more than their
// fair part without exceeding a replica's limit.
func TestHighTierIsServedWhereverItArrives(t *testing.T) {
	size := smallCluster().withLoad(1.5)
	size.skew = true
	shared := newSimulation(size).measure(10*time.Second, 20*time.Second)
	size.alone = true
	alone := newSimulation(size).measure(10*time.Second, 20*time.Second)
	if shared.mean0 > alone.mean0/3 {
		t.Errorf("tier 0 waits %.2f s on average with credits, %.2f s without", shared.mean0, alone.mean0)
	}
	if shared.over > 0 {
		t.Errorf("a replica was over its limit in a fraction %.4f of the steps", shared.over)
	}
	if shared.busy < 0.85 {
		t.Errorf("only %.2f of the slots are in use", shared.busy)
	}
}
