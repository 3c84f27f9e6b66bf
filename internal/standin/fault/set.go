package fault

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// DefaultFactor is the slowness of a straggler whose Spec names none.
const DefaultFactor = 10

// Set holds the switches of one stand-in. It is safe for concurrent use.
type Set struct {
	kinds []Kind

	mu      sync.Mutex
	active  map[Kind]Active
	changed chan struct{}
}

// NewSet returns switches for the given kinds, all off.
func NewSet(kinds ...Kind) *Set {
	return &Set{
		kinds:   kinds,
		active:  make(map[Kind]Active),
		changed: make(chan struct{}),
	}
}

// Switch turns a fault on, in place of an earlier one of its kind. It returns
// an error that names field and value where the Spec is not valid.
func (s *Set) Switch(spec Spec) error {
	if !slices.Contains(s.kinds, spec.Kind) {
		return fmt.Errorf("field kind: value %q is none of %v", spec.Kind, s.kinds)
	}
	if spec.For < 0 {
		return fmt.Errorf("field for: value %q is negative", spec.For)
	}
	if spec.Factor < 0 {
		return fmt.Errorf("field factor: value %v is negative", spec.Factor)
	}
	if spec.Kind == CrashOnPrompt && spec.Text == "" {
		return fmt.Errorf("field text: value %q selects every prompt", spec.Text)
	}
	if spec.Factor == 0 {
		spec.Factor = DefaultFactor
	}
	fault := Active{Spec: spec}
	if spec.For > 0 {
		fault.Until = time.Now().Add(spec.For.Std())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[spec.Kind] = fault
	s.notifyLocked()
	return nil
}

// Clear turns a fault off.
func (s *Set) Clear(kind Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, kind)
	s.notifyLocked()
}

// ClearAll turns every fault off.
func (s *Set) ClearAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.active)
	s.notifyLocked()
}

// Get returns the fault of the kind if it is on.
func (s *Set) Get(kind Kind) (Active, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.getLocked(kind)
}

// Take turns the fault off and returns it, so that it happens once only.
func (s *Set) Take(kind Kind) (Active, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, ok := s.getLocked(kind)
	delete(s.active, kind)
	return fault, ok
}

// List returns the faults that are on, in the order of the set's kinds.
func (s *Set) List() []Active {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []Active{}
	for _, kind := range s.kinds {
		if fault, ok := s.getLocked(kind); ok {
			list = append(list, fault)
		}
	}
	return list
}

// Changed returns a channel that is closed at the next switch by hand; the end
// of a fault's time does not close it.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Wait blocks while the fault is on, or until done is closed. It reports
// whether the fault ended.
func (s *Set) Wait(kind Kind, done <-chan struct{}) bool {
	for {
		changed := s.Changed()
		fault, on := s.Get(kind)
		if !on {
			return true
		}
		var ends <-chan time.Time
		if !fault.Until.IsZero() {
			ends = time.After(time.Until(fault.Until))
		}
		select {
		case <-ends:
		case <-changed:
		case <-done:
			return false
		}
	}
}

func (s *Set) getLocked(kind Kind) (Active, bool) {
	fault, ok := s.active[kind]
	if !ok {
		return Active{}, false
	}
	if !fault.Until.IsZero() && !time.Now().Before(fault.Until) {
		delete(s.active, kind)
		return Active{}, false
	}
	return fault, true
}

func (s *Set) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
