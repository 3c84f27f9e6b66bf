package edge

import (
	"testing"
	"time"

	"galenatrestle/internal/boottime"
)

// fakeFleet is a fleet of five availability zones.
type fakeFleet struct {
	size    int
	isEntry bool
}

func (f fakeFleet) FleetSize() int     { return f.size }
func (f fakeFleet) MaxEntryNodes() int { return min(f.size, 80) }
func (f fakeFleet) IsEntryNode() bool  { return f.isEntry }

// Entry nodes had the same shares as the many nodes that serve no callers: too little for one retry or a
// second connection to a replica.
func TestEntryNodesShareOfLimitsDoesNotFollowFleet(t *testing.T) {
	for _, size := range []int{300, 985, 2000} {
		entry := assumedNodeCount(fakeFleet{size, true})
		if entry > 200 {
			t.Errorf("fleet of %d: an entry node has 1/%d of the limit", size, entry)
		}
		other := assumedNodeCount(fakeFleet{size, false})
		if sum := 80/float64(entry) + float64(size-80)/float64(other); sum > 0.85 {
			t.Errorf("fleet of %d: the shares add up to %.2f of the limit", size, sum)
		}
	}
}

func TestNodesOfSmallFleetsShareLimitsEqually(t *testing.T) {
	for size, want := range map[int]int{1: 8, 7: 8, 30: 37, 64: 80} {
		for _, isEntry := range []bool{true, false} {
			if got := assumedNodeCount(fakeFleet{size, isEntry}); got != want {
				t.Errorf("fleet of %d, entry node %t: 1/%d of the limit, want 1/%d", size, isEntry, got, want)
			}
		}
	}
}

func TestNodeCountIsCountedAgainAfterItsTTL(t *testing.T) {
	now := boottime.Instant(time.Second)
	f := &fakeFleet{size: 30}
	l := &limitSharing{fleet: f, clock: func() boottime.Instant { return now }}
	first := l.nodeCount()
	f.size = 60
	if got := l.nodeCount(); got != first {
		t.Errorf("count %d within the TTL, want %d", got, first)
	}
	now = now.Add(shareTTL)
	if got := l.nodeCount(); got == first {
		t.Errorf("count %d after the TTL", got)
	}
}
