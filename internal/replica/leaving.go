package replica

// minLeavingProcesses is the number of leaving processes that are always remembered, so that
// short listings do not drop them at once.
const minLeavingProcesses = 64

// MarkLeaving records that the replica's process said itself that it is leaving, and reports
// whether that is new. From then on the replica counts as draining, whatever the listings say:
// its registration changes later, by minutes in an outage of the store, and a process that
// leaves does not come back.
func (s *Set) MarkLeaving(r *Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := r.Process()
	if s.leaving[process] {
		return false
	}
	if len(s.leaving) >= 2*len(s.known)+minLeavingProcesses {
		s.forgetUnlisted()
	}
	s.leaving[process] = true
	s.group()
	return true
}

// forgetUnlisted drops the leaving processes that are not known. Not each one is dropped as soon
// as its registration is missing: it may expire in an outage of the store and return. The lock is
// held.
func (s *Set) forgetUnlisted() {
	for process := range s.leaving {
		if !s.isKnown(process) {
			delete(s.leaving, process)
		}
	}
}

// isDraining reports whether the registration or the process itself says that it is leaving. The
// lock is held.
func (s *Set) isDraining(r *Replica) bool { return r.Draining || s.leaving[r.Process()] }
