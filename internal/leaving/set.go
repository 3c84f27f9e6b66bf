package leaving

import (
	"time"
)

const (
	// MaxSignals bounds the signals in one Set.
	MaxSignals = 4096
	// SignalTTL is how long a signal lasts unless it is renewed.
	SignalTTL = 10 * time.Minute
)

// signalKey is a key of Set.signals: there is one signal per name and source.
type signalKey struct {
	name   string
	source Source
}

// Signal is the latest state of one replica or VM according to one source.
type Signal struct {
	Name    string
	Source  Source
	Leaving bool
	// Version orders the signals of one name and source; the highest wins. It is the
	// configuration revision for SourceOperator, otherwise the time of the observation in
	// Unix milliseconds, or one more than the previous version if that is higher.
	Version int64
	// Expires is when the signal ends unless renewed.
	Expires time.Time
}

// Set stores signals. It does no I/O and is not safe for concurrent use.
type Set struct {
	signals map[signalKey]Signal
	// listedLeaving has the names that this node itself saw as leaving in the
	// platform's instance list.
	listedLeaving map[string]bool
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{signals: make(map[signalKey]Signal), listedLeaving: make(map[string]bool)}
}

// Leaving reports whether any source says that the replica or VM is leaving.
func (s *Set) Leaving(now time.Time, name string) bool {
	for _, source := range Sources() {
		if s.isLeaving(now, signalKey{name, source}) {
			return true
		}
	}
	return false
}

// RecordEngine records what the replica itself says. A serving report measured before the
// current leaving signal is ignored, because reports can be delayed. It returns the
// signal to publish, if any.
func (s *Set) RecordEngine(now, measuredAt time.Time, name string, leaving bool) (Signal, bool) {
	key := signalKey{name, SourceEngine}
	if leaving {
		return s.record(now, key, true)
	}
	if !s.isLeaving(now, key) || measuredAt.UnixMilli() <= s.signals[key].Version {
		return Signal{}, false
	}
	return s.record(now, key, false)
}

// RecordInstance records the state of a VM in this node's copy of the platform's instance
// list. The copies lag by different times, so a node clears the signal only if its own
// copy showed the VM as leaving before. It returns the signal to publish, if any.
func (s *Set) RecordInstance(now time.Time, name string, leaving bool) (Signal, bool) {
	wasLeaving := s.listedLeaving[name]
	switch {
	case leaving:
		s.listedLeaving[name] = true
	case wasLeaving:
		delete(s.listedLeaving, name)
	default:
		return Signal{}, false
	}
	return s.record(now, signalKey{name, SourceInstances}, leaving)
}

// ForgetInstance drops a VM that is no longer in the platform's instance list.
func (s *Set) ForgetInstance(name string) { delete(s.listedLeaving, name) }

// RecordOperator records the state of a name in a configuration revision. A revision that
// is not newer than that of the current signal does not change the state, but renews the
// signal if the state is the same. It returns the signal to publish, if any.
func (s *Set) RecordOperator(now time.Time, name string, leaving bool, revision int64) (Signal, bool) {
	key := signalKey{name, SourceOperator}
	old, ok := s.signals[key]
	if !ok && !leaving {
		return Signal{}, false
	}
	if ok && old.Version >= revision && old.Leaving == leaving {
		old.Expires = now.Add(SignalTTL)
		s.signals[key] = old
		return Signal{}, false
	}
	signal := Signal{Name: name, Source: SourceOperator, Leaving: leaving, Version: revision, Expires: now.Add(SignalTTL)}
	return signal, s.Merge(now, signal)
}

// Merge merges a signal and reports whether it changed the set.
func (s *Set) Merge(now time.Time, signal Signal) bool {
	key := signalKey{signal.Name, signal.Source}
	old, ok := s.signals[key]
	if ok && old.Version >= signal.Version || !now.Before(signal.Expires) {
		return false
	}
	if !ok && !s.hasRoom(now) {
		return false
	}
	signal.Expires = earlier(signal.Expires, now.Add(SignalTTL))
	s.signals[key] = signal
	return true
}

// LeavingCount returns the number of names that are leaving.
func (s *Set) LeavingCount(now time.Time) int {
	names := make(map[string]bool)
	for key := range s.signals {
		if s.isLeaving(now, key) {
			names[key.name] = true
		}
	}
	return len(names)
}

func (s *Set) isLeaving(now time.Time, key signalKey) bool {
	signal, ok := s.signals[key]
	return ok && signal.Leaving && now.Before(signal.Expires)
}

// record stores a signal with the current time as its version. An unchanged state is
// renewed only after half of SignalTTL, so that repeated observations are not published.
func (s *Set) record(now time.Time, key signalKey, leaving bool) (Signal, bool) {
	old, ok := s.signals[key]
	fresh := ok && old.Expires.Sub(now) > SignalTTL/2
	if fresh && old.Leaving == leaving {
		return Signal{}, false
	}
	signal := Signal{
		Name: key.name, Source: key.source, Leaving: leaving,
		Version: max(now.UnixMilli(), old.Version+1),
		Expires: now.Add(SignalTTL),
	}
	return signal, s.Merge(now, signal)
}

// hasRoom reports whether another signal fits. It evicts expired signals if the set is
// full.
func (s *Set) hasRoom(now time.Time) bool {
	if len(s.signals) < MaxSignals {
		return true
	}
	for key, signal := range s.signals {
		if !now.Before(signal.Expires) {
			delete(s.signals, key)
		}
	}
	return len(s.signals) < MaxSignals
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
