package membership

import (
	"slices"
	"time"
)

// Back-off of seeds that do not answer.
const (
	seedFirstRetry = 2 * time.Second
	seedLastRetry  = time.Minute
	// seedAttempts is how often a seed that is not in the platform's list is
	// tried.
	seedAttempts = 12
)

// seed is an address at which a node may listen.
type seed struct {
	name    string
	address string
	// listed seeds are in the platform's list or in the settings.
	listed   bool
	failures int
	next     time.Time
}

// seedList holds addresses by address.
type seedList struct {
	byAddress map[string]*seed
}

func newSeedList() *seedList {
	return &seedList{byAddress: make(map[string]*seed)}
}

func (l *seedList) addListed(name, address string) {
	if known, ok := l.byAddress[address]; ok {
		known.listed = true
		return
	}
	l.add(&seed{name: name, address: address, listed: true})
}

// addDead keeps a dead member's address, so that the two sides of a healed
// partition find each other without the platform.
func (l *seedList) addDead(now time.Time, name, address string) {
	if _, ok := l.byAddress[address]; ok {
		return
	}
	l.add(&seed{name: name, address: address, next: now.Add(seedFirstRetry)})
}

func (l *seedList) add(s *seed) {
	if s.address == "" || len(l.byAddress) >= maxSeeds {
		return
	}
	l.byAddress[s.address] = s
}

// unlist marks seeds that are no longer in the platform's list.
func (l *seedList) unlist(listed map[string]bool) {
	for address, s := range l.byAddress {
		s.listed = listed[address]
	}
}

func (l *seedList) answered(address string) { delete(l.byAddress, address) }

func (l *seedList) failed(now time.Time, address string) {
	s, ok := l.byAddress[address]
	if !ok {
		return
	}
	s.failures++
	if !s.listed && s.failures >= seedAttempts {
		delete(l.byAddress, address)
		return
	}
	wait := min(seedFirstRetry<<min(s.failures, 8), seedLastRetry)
	s.next = now.Add(wait)
}

// due returns the seeds that may be tried, ordered by address.
func (l *seedList) due(now time.Time, known func(*seed) bool) []*seed {
	var list []*seed
	for _, s := range l.byAddress {
		if !now.Before(s.next) && !known(s) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *seed) int {
		if a.address < b.address {
			return -1
		}
		return 1
	})
	return list
}
