package replicaspeed

import (
	"testing"
	"time"
)

// BenchmarkRefresh computes the factors of 160 replicas, as at most every 20 ms.
func BenchmarkRefresh(b *testing.B) {
	f := newFleet(160)
	for _, e := range f.estimates {
		e.SetPeers(Observed{Weight: 20, LogSum: 3}, Observed{Weight: 50, LogSum: -4})
	}
	for b.Loop() {
		f.now = f.now.Add(20 * time.Millisecond)
		f.upstream.Refresh(f.now, f.estimates, nil)
	}
}
