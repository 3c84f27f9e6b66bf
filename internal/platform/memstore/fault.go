package memstore

import (
	"errors"
	"fmt"
	"time"
)

// FaultKind names a fault switch.
type FaultKind string

// The fault switches.
const (
	// Down makes every call fail with ErrUnavailable and cuts waiting watches.
	Down FaultKind = "down"
	// Slow adds Factor milliseconds to every call.
	Slow FaultKind = "slow"
	// LostAnswer lets writes and lease calls take effect and loses their
	// answers: all for a Factor of zero, a share below one, else that many.
	LostAnswer FaultKind = "lost-answer"
	// WatchGap leaves events out of watches for good: silently for a Factor
	// of zero, else watches that reach them report Gap.
	WatchGap FaultKind = "watch-gap"
	// LeaseLapse ends held leases now: the named one, or all.
	LeaseLapse FaultKind = "lease-lapse"
	// StaleInstances freezes the list of VMs as it is.
	StaleInstances FaultKind = "stale-instances"
)

// Fault is a fault switch turned on.
type Fault struct {
	Kind FaultKind
	// For is how long it stays on; zero: until it is cleared.
	For time.Duration
	// Factor is its size, with a meaning by kind.
	Factor float64
	// Name is the lease of a LeaseLapse; empty: all leases.
	Name string
}

// The errors of Inject.
var (
	ErrUnknownFault = errors.New("is none of down, slow, lost-answer, watch-gap, lease-lapse, stale-instances")
	ErrNegative     = errors.New("is negative")
)

// Inject turns a fault on; a second one of its kind replaces the first. An
// error names the field and its value.
func (s *Store) Inject(fault Fault) error {
	if fault.For < 0 {
		return fmt.Errorf("field for: value %s: %w", fault.For, ErrNegative)
	}
	if fault.Factor < 0 {
		return fmt.Errorf("field factor: value %v: %w", fault.Factor, ErrNegative)
	}
	switch fault.Kind {
	case LeaseLapse:
		s.LapseLease(fault.Name)
		return nil
	case StaleInstances:
		s.freeze()
	case Down, Slow, LostAnswer, WatchGap:
	default:
		return fmt.Errorf("field kind: value %q: %w", fault.Kind, ErrUnknownFault)
	}
	s.faults.set(fault)
	s.wakeAll()
	return nil
}

// Clear turns a fault off.
func (s *Store) Clear(kind FaultKind) { s.faults.clear(kind) }

// ClearAll turns all faults off.
func (s *Store) ClearAll() { s.faults.clearAll() }

// Faults returns the faults that are on.
func (s *Store) Faults() []Fault { return s.faults.list() }
