package claim

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/platform"
)

// fault is a failure of one compare-and-swap.
type fault int

const (
	faultNone fault = iota
	// faultDown fails the call without any effect.
	faultDown
	// faultLost applies the write and loses the response.
	faultLost
	// faultLate fails the call and attempts the write later, in deliverLate.
	faultLate
)

// fakeStore is a platform.Store with latency and fault injection.
type fakeStore struct {
	platform.Store
	latency time.Duration

	mu       sync.Mutex
	revision int64
	entries  map[string]platform.Entry
	down     bool
	faultOf  func(key string) fault
	// gate, if set, is called before each compare-and-swap and may block it.
	gate   func(key string, value []byte)
	writes int
	bytes  int
	late   []func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: make(map[string]platform.Entry)}
}

func (f *fakeStore) writeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writes
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeStore) setFault(faultOf func(string) fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultOf = faultOf
}

func (f *fakeStore) setGate(gate func(string, []byte)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate = gate
}

func (f *fakeStore) wait(ctx context.Context) error {
	if ctxtime.Sleep(ctx, f.latency) != nil {
		return platform.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (f *fakeStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := f.wait(ctx); err != nil {
		return platform.Entry{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, exists := f.entries[key]
	if !exists {
		return platform.Entry{}, platform.ErrNotFound
	}
	return entry, nil
}

func (f *fakeStore) List(ctx context.Context, prefix string) ([]platform.Entry, int64, error) {
	if err := f.wait(ctx); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []platform.Entry
	for key, entry := range f.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, entry)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, f.revision, nil
}

func (f *fakeStore) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error) {
	f.mu.Lock()
	gate := f.gate
	f.mu.Unlock()
	if gate != nil {
		gate(key, value)
	}
	if err := f.wait(ctx); err != nil {
		return platform.Entry{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	injected := faultNone
	if f.faultOf != nil {
		injected = f.faultOf(key)
	}
	switch injected {
	case faultDown:
		return platform.Entry{}, platform.ErrUnavailable
	case faultLate:
		f.late = append(f.late, func() { _, _ = f.swap(key, expect, value) })
		return platform.Entry{}, platform.ErrUnavailable
	}
	entry, err := f.swap(key, expect, value)
	if injected == faultLost {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return entry, err
}

// swap performs the write. The caller holds the lock.
func (f *fakeStore) swap(key string, expect int64, value []byte) (platform.Entry, error) {
	f.writes++
	current := f.entries[key]
	if current.Revision != expect {
		return platform.Entry{}, &platform.ConflictError{Key: key, Expect: expect, Current: current}
	}
	f.revision++
	entry := platform.Entry{Key: key, Value: value, Revision: f.revision}
	f.entries[key] = entry
	f.bytes += len(value)
	return entry, nil
}

// deliverLate performs the writes that faultLate delayed.
func (f *fakeStore) deliverLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range f.late {
		write()
	}
	f.late = nil
}
