package configsync

import (
	"slices"
	"sync"

	"galenatrestle/internal/membership"
)

// answers holds the revisions that peers gave in their answers, by address:
// newer than what heartbeats have brought so far. Bounded by keep.
type answers struct {
	mu        sync.Mutex
	revisions map[string]int64
}

func (a *answers) note(address string, revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.revisions == nil {
		a.revisions = make(map[string]int64)
	}
	a.revisions[address] = revision
}

// keep forgets the addresses that are not among the given, ordered ones.
func (a *answers) keep(addresses []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for address := range a.revisions {
		if _, known := slices.BinarySearch(addresses, address); !known {
			delete(a.revisions, address)
		}
	}
}

func (a *answers) at(address string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revisions[address]
}

// InForce counts the members that have the revision in force, and all members
// that are not leaving.
func (s *Syncer) InForce(revision int64) (inForce, members int) {
	for _, member := range s.view.Members() {
		if member.State == membership.StateLeaving {
			continue
		}
		members++
		if s.revisionAt(member) >= revision {
			inForce++
		}
	}
	return inForce, members
}

// revisionAt returns the highest revision that is known to be in force at a
// member.
func (s *Syncer) revisionAt(member membership.Member) int64 {
	if member.Name == s.view.Self().Name {
		return s.current.Revision()
	}
	return max(member.ConfigRevision, s.answers.at(member.PeerAddress))
}
