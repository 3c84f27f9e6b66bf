package leaving

import (
	"time"
)

// Bounds of the state.
const (
	// MaxSignals bounds the votes held by one Set.
	MaxSignals = 4096
	// SignalTTL is how long a vote lasts that is not renewed.
	SignalTTL = 10 * time.Minute
)

// voteKey is what a vote is about.
type voteKey struct {
	name   string
	source Source
}

// Signal is what one source says of one name.
type Signal struct {
	Name    string
	Source  Source
	Leaving bool
	// Version orders the votes of one name and source; the higher one wins.
	// It is the time of the sign in milliseconds since 1970, or the
	// configuration's revision for SourceOperator.
	Version int64
	// Expires is when the vote ends unless renewed.
	Expires time.Time
}

// Set holds the votes. It is pure and not safe for concurrent use.
type Set struct {
	votes map[voteKey]Signal
	// listed holds the names that this node itself saw leaving in the
	// platform's list.
	listed map[string]bool
}

// NewSet returns a set in which nobody is leaving.
func NewSet() *Set {
	return &Set{votes: make(map[voteKey]Signal), listed: make(map[string]bool)}
}

// Leaving reports whether any source says that the name is leaving.
func (s *Set) Leaving(now time.Time, name string) bool {
	for _, source := range Sources() {
		if s.says(now, voteKey{name, source}) {
			return true
		}
	}
	return false
}

// RecordEngine takes in a replica's own word: leaving from a refusal or a report,
// or serving from a report. Reports lag: one that was measured before the word
// it would take back changes nothing. It returns the vote to spread, if there
// is news.
func (s *Set) RecordEngine(now, measured time.Time, name string, leaving bool) (Signal, bool) {
	key := voteKey{name, SourceEngine}
	if leaving {
		return s.renew(now, key, true)
	}
	if !s.says(now, key) || measured.UnixMilli() <= s.votes[key].Version {
		return Signal{}, false
	}
	return s.renew(now, key, false)
}

// RecordInstance takes in what this node's copy of the platform's list says. The
// list lags by different times at different nodes: it takes a vote back only
// where this same node saw it say leaving before.
func (s *Set) RecordInstance(now time.Time, name string, leaving bool) (Signal, bool) {
	seen := s.listed[name]
	switch {
	case leaving:
		s.listed[name] = true
	case seen:
		delete(s.listed, name)
	default:
		return Signal{}, false
	}
	return s.renew(now, voteKey{name, SourceInstances}, leaving)
}

// ForgetInstance drops a name that the platform's list no longer holds.
func (s *Set) ForgetInstance(name string) { delete(s.listed, name) }

// RecordOperator takes in what the configuration of a revision says. An older
// revision than the vote's own changes nothing.
func (s *Set) RecordOperator(now time.Time, name string, leaving bool, revision int64) (Signal, bool) {
	key := voteKey{name, SourceOperator}
	old, ok := s.votes[key]
	if !ok && !leaving {
		return Signal{}, false
	}
	if ok && old.Version >= revision && old.Leaving == leaving {
		old.Expires = now.Add(SignalTTL)
		s.votes[key] = old
		return Signal{}, false
	}
	vote := Signal{Name: name, Source: SourceOperator, Leaving: leaving, Version: revision, Expires: now.Add(SignalTTL)}
	return vote, s.Merge(now, vote)
}

// Merge takes in a vote of a peer and reports whether it was news.
func (s *Set) Merge(now time.Time, vote Signal) bool {
	key := voteKey{vote.Name, vote.Source}
	old, ok := s.votes[key]
	if ok && old.Version >= vote.Version || !now.Before(vote.Expires) {
		return false
	}
	if !ok && !s.room(now) {
		return false
	}
	vote.Expires = earlier(vote.Expires, now.Add(SignalTTL))
	s.votes[key] = vote
	return true
}

// LeavingCount returns the number of names that are leaving.
func (s *Set) LeavingCount(now time.Time) int {
	names := make(map[string]bool)
	for key := range s.votes {
		if s.says(now, key) {
			names[key.name] = true
		}
	}
	return len(names)
}

func (s *Set) says(now time.Time, key voteKey) bool {
	vote, ok := s.votes[key]
	return ok && vote.Leaving && now.Before(vote.Expires)
}

// renew sets a vote whose version is the time. A vote that says the same is
// renewed only once half its time is over, so that repeated signs make no
// messages.
func (s *Set) renew(now time.Time, key voteKey, leaving bool) (Signal, bool) {
	old, ok := s.votes[key]
	fresh := ok && old.Expires.Sub(now) > SignalTTL/2
	if fresh && old.Leaving == leaving {
		return Signal{}, false
	}
	vote := Signal{
		Name: key.name, Source: key.source, Leaving: leaving,
		Version: max(now.UnixMilli(), old.Version+1),
		Expires: now.Add(SignalTTL),
	}
	return vote, s.Merge(now, vote)
}

// room reports whether one more vote may be held; it forgets expired ones
// where the set is full.
func (s *Set) room(now time.Time) bool {
	if len(s.votes) < MaxSignals {
		return true
	}
	for key, vote := range s.votes {
		if !now.Before(vote.Expires) {
			delete(s.votes, key)
		}
	}
	return len(s.votes) < MaxSignals
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
