package memstore

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"galenatrestle/internal/platform"
)

// activeFault is a fault with its end and what is left of it.
type activeFault struct {
	Fault
	// ends is zero for a fault that stays until it is cleared.
	ends time.Time
	// left is the number of answers still to lose.
	left int
}

// faults holds the switches.
type faults struct {
	mu     sync.Mutex
	random *rand.Rand
	active map[FaultKind]*activeFault
}

// newFaults returns all switches off.
func newFaults(seed uint64) *faults {
	return &faults{
		random: rand.New(rand.NewPCG(seed, seed)),
		active: make(map[FaultKind]*activeFault),
	}
}

// set turns a fault on.
func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	active := &activeFault{Fault: fault, left: int(fault.Factor)}
	if fault.For > 0 {
		active.ends = time.Now().Add(fault.For)
	}
	f.active[fault.Kind] = active
}

// clear turns a fault off.
func (f *faults) clear(kind FaultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, kind)
}

// clearAll turns all faults off.
func (f *faults) clearAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.active)
}

// list returns the faults that are on, by kind.
func (f *faults) list() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	on := []Fault{}
	for kind := range f.active {
		if active := f.get(kind); active != nil {
			on = append(on, active.Fault)
		}
	}
	slices.SortFunc(on, func(a, b Fault) int { return cmp.Compare(a.Kind, b.Kind) })
	return on
}

// get returns the fault if it is on, else nil; f.mu is held.
func (f *faults) get(kind FaultKind) *activeFault {
	active, ok := f.active[kind]
	if !ok {
		return nil
	}
	if !active.ends.IsZero() && !time.Now().Before(active.ends) {
		delete(f.active, kind)
		return nil
	}
	return active
}

// isOn tells whether the fault is on.
func (f *faults) isOn(kind FaultKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.get(kind) != nil
}

// isDown tells whether the platform is down.
func (f *faults) isDown() bool { return f.isOn(Down) }

// isStale tells whether the instance list is frozen.
func (f *faults) isStale() bool { return f.isOn(StaleInstances) }

// before applies Slow and Down to a call.
func (f *faults) before(ctx context.Context) error {
	if err := f.delay(ctx); err != nil {
		return err
	}
	if f.isDown() {
		return platform.ErrUnavailable
	}
	return nil
}

// delay waits as long as Slow says.
func (f *faults) delay(ctx context.Context) error {
	if ctx.Err() != nil {
		return cancelled(ctx)
	}
	latency := f.latency()
	if latency == 0 {
		return nil
	}
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return cancelled(ctx)
	}
}

// latency returns the time that Slow adds to a call.
func (f *faults) latency() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	slow := f.get(Slow)
	if slow == nil {
		return 0
	}
	return time.Duration(slow.Factor * float64(time.Millisecond))
}

// loseAnswer tells whether the answer of this write is lost.
func (f *faults) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	lost := f.get(LostAnswer)
	switch {
	case lost == nil:
		return false
	case lost.Factor == 0:
		return true
	case lost.Factor < 1:
		return f.random.Float64() < lost.Factor
	}
	lost.left--
	if lost.left == 0 {
		delete(f.active, LostAnswer)
	}
	return true
}

// visibility returns how a new event shows in watches.
func (f *faults) visibility() visibility {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.get(WatchGap)
	switch {
	case fault == nil:
		return visible
	case fault.Factor == 0:
		return missing
	default:
		return gap
	}
}
