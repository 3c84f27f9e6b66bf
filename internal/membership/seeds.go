package membership

import (
	"slices"
	"time"
)

const (
	seedMinBackoff = 2 * time.Second
	seedMaxBackoff = time.Minute
	// maxUnlistedSeedFailures is the number of failed calls after which a seed that is
	// not listed is removed.
	maxUnlistedSeedFailures = 12
)

type seed struct {
	name    string
	address string
	// listed seeds are in the platform's last list. Configured ones count as listed
	// until the first list.
	listed      bool
	failures    int
	nextAttempt time.Time
}

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

// addDead adds a dead member's address as a seed, so that the two sides of a healed
// partition find each other without the platform.
func (l *seedList) addDead(now time.Time, name, address string) {
	if _, ok := l.byAddress[address]; ok {
		return
	}
	l.add(&seed{name: name, address: address, nextAttempt: now.Add(seedMinBackoff)})
}

func (l *seedList) add(s *seed) {
	if s.address == "" || len(l.byAddress) >= maxSeeds {
		return
	}
	l.byAddress[s.address] = s
}

// updateListed sets which seeds are listed by the addresses of a platform list.
func (l *seedList) updateListed(listed map[string]bool) {
	for address, s := range l.byAddress {
		s.listed = listed[address]
	}
}

func (l *seedList) remove(address string) { delete(l.byAddress, address) }

func (l *seedList) recordFailure(now time.Time, address string) {
	s, ok := l.byAddress[address]
	if !ok {
		return
	}
	s.failures++
	if !s.listed && s.failures >= maxUnlistedSeedFailures {
		delete(l.byAddress, address)
		return
	}
	backoff := min(seedMinBackoff<<min(s.failures, 8), seedMaxBackoff)
	s.nextAttempt = now.Add(backoff)
}

// due returns the seeds to call now, ordered by address.
func (l *seedList) due(now time.Time, known func(*seed) bool) []*seed {
	var list []*seed
	for _, s := range l.byAddress {
		if !now.Before(s.nextAttempt) && !known(s) {
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
