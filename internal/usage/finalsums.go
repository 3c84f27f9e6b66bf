package usage

import (
	"maps"
	"slices"
	"sync"
)

// FinalSums are a window's sums over all nodes, as they are reported.
type FinalSums struct {
	Window int64
	Counts Counts
	// Fence is the fencing token of the holder that told them.
	Fence int64
}

// KeptSums keeps the final sums that holders told this process. A later holder reports the same
// where the store has lost them. It is safe for concurrent use; the zero value is empty.
type KeptSums struct {
	mu       sync.Mutex
	byWindow map[int64]FinalSums
}

// Keep stores the sums of the newest windows. Of two sums of a window those of the earlier holder
// stay: the platform may have accepted them.
func (k *KeptSums) Keep(list []FinalSums) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byWindow == nil {
		k.byWindow = make(map[int64]FinalSums)
	}
	newest := int64(0)
	for _, sums := range list {
		keepEarlier(k.byWindow, sums)
		newest = max(newest, sums.Window)
	}
	maps.DeleteFunc(k.byWindow, func(window int64, _ FinalSums) bool { return window <= newest-keepWindows })
}

// Since returns the sums of the windows from first on, oldest first.
func (k *KeptSums) Since(first int64) []FinalSums {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []FinalSums
	for _, window := range slices.Sorted(maps.Keys(k.byWindow)) {
		if window >= first {
			list = append(list, k.byWindow[window])
		}
	}
	return list
}

func keepEarlier(byWindow map[int64]FinalSums, sums FinalSums) {
	if known, ok := byWindow[sums.Window]; !ok || sums.Fence < known.Fence {
		byWindow[sums.Window] = sums
	}
}
