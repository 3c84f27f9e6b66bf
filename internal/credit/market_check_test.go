package credit

import (
	"testing"
	"time"
)

// TestHighTierIsServedWhereverItArrives sends all of tier 0 to two nodes of
// eight at 1.5 times the capacity: credits must bring them slots that the fair
// part does not, without going over any replica's limit.
func TestHighTierIsServedWhereverItArrives(t *testing.T) {
	size := todaySize().at(1.5)
	size.skew = true
	shared := newMarket(size).measure(10*time.Second, 20*time.Second)
	size.alone = true
	alone := newMarket(size).measure(10*time.Second, 20*time.Second)
	if shared.mean0 > alone.mean0/3 {
		t.Errorf("tier 0 waits %.2f s on average with credits, %.2f s without", shared.mean0, alone.mean0)
	}
	if shared.over > 0 {
		t.Errorf("a replica was over its limit in %.4f of the looks", shared.over)
	}
	if shared.busy < 0.85 {
		t.Errorf("only %.2f of the slots are in use", shared.busy)
	}
}
