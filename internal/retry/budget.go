package retry

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	budgetShards = 16
	// maxKeysPerShard bounds the memory; keys past it share one window.
	maxKeysPerShard = 256
	// floor is how many attempts may be added in a window however few succeed,
	// so that a small site can repeat what one replica had in its batch.
	floor = 10
	// notRunAllowance is how many attempts proved not run may be repeated in
	// a window before they count against the budget.
	notRunAllowance = 20
)

// budgetKey names what a budget is for.
type budgetKey struct {
	class    string
	upstream string
}

// overflowKey is shared by all keys past the bound.
var overflowKey = budgetKey{}

// budget bounds the added attempts of each key to a part of its successes over
// a sliding window.
type budget struct {
	seed   maphash.Seed
	shards [budgetShards]budgetShard
}

type budgetShard struct {
	mu      sync.Mutex
	windows map[budgetKey]*window
}

func newBudget() *budget {
	b := &budget{seed: maphash.MakeSeed()}
	for i := range b.shards {
		b.shards[i].windows = make(map[budgetKey]*window)
	}
	return b
}

func (b *budget) shard(key budgetKey) *budgetShard {
	return &b.shards[maphash.Comparable(b.seed, key)%budgetShards]
}

// window returns the key's window. The shard must be locked.
func (s *budgetShard) window(key budgetKey) *window {
	w, ok := s.windows[key]
	if !ok && len(s.windows) >= maxKeysPerShard {
		key = overflowKey
		w, ok = s.windows[key]
	}
	if !ok {
		w = new(window)
		s.windows[key] = w
	}
	return w
}

func (b *budget) succeeded(now time.Time, key budgetKey) {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(key).at(now).successes++
}

// take counts one added attempt if the budget has room for it.
func (b *budget) take(now time.Time, key budgetKey, ratio float64, notRun bool) bool {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(key)
	total := w.sum(now)
	if notRun && total.free < notRunAllowance {
		w.at(now).free++
		return true
	}
	// What the allowance gave is taken off, so that both together stay within
	// the ratio where there is traffic.
	share := max(0, ratio*float64(total.successes)-float64(total.free))
	if float64(total.spent) >= max(floor, share) {
		return false
	}
	w.at(now).spent++
	return true
}
