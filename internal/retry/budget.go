package retry

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	budgetShards = 16
	// maxKeysPerShard bounds memory. Further keys of a budget shard share one window.
	maxKeysPerShard = 256
	// minAddedAttempts per window are allowed regardless of successes, so that a low-traffic
	// site can retry the requests lost with one replica.
	minAddedAttempts = 10
	// notRunAllowance is how many attempts known not to have run may be retried per window
	// without being charged.
	notRunAllowance = 20
)

type budgetKey struct {
	class    string
	upstream string
}

// overflowKey is the key of the window shared by the keys of a shard beyond maxKeysPerShard.
var overflowKey = budgetKey{}

// budget limits a key's added attempts to a fraction of its recent successes.
type budget struct {
	seed   maphash.Seed
	shards [budgetShards]budgetShard
}

type budgetShard struct {
	mu      sync.Mutex
	windows map[budgetKey]*slidingWindow
}

func newBudget() *budget {
	b := &budget{seed: maphash.MakeSeed()}
	for i := range b.shards {
		b.shards[i].windows = make(map[budgetKey]*slidingWindow)
	}
	return b
}

func (b *budget) shard(key budgetKey) *budgetShard {
	return &b.shards[maphash.Comparable(b.seed, key)%budgetShards]
}

// window returns the key's window. s.mu must be held.
func (s *budgetShard) window(key budgetKey) *slidingWindow {
	w, ok := s.windows[key]
	if !ok && len(s.windows) >= maxKeysPerShard {
		key = overflowKey
		w, ok = s.windows[key]
	}
	if !ok {
		w = new(slidingWindow)
		s.windows[key] = w
	}
	return w
}

func (b *budget) recordSuccess(now time.Time, key budgetKey) {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(key).bucketAt(now).successes++
}

// tryTake records an added attempt and returns true if the budget allows it. notRun is set if
// the failed attempt is known not to have run.
func (b *budget) tryTake(now time.Time, key budgetKey, ratio float64, notRun bool) bool {
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(key)
	total := w.sum(now)
	if notRun && total.uncharged < notRunAllowance {
		w.bucketAt(now).uncharged++
		return true
	}
	// Uncharged attempts reduce the budget, so that under load the sum of charged and uncharged
	// attempts stays within ratio.
	allowed := max(0, ratio*float64(total.successes)-float64(total.uncharged))
	if float64(total.charged) >= max(minAddedAttempts, allowed) {
		return false
	}
	w.bucketAt(now).charged++
	return true
}
