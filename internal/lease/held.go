package lease

import (
	"cmp"
	"slices"

	"galenatrestle/internal/platform"
)

// Held returns the leases whose terms are in force in this process, sorted by
// name.
func (s *Source) Held() []platform.Lease {
	now := s.now()
	var held []platform.Lease
	for _, term := range s.openTerms() {
		if term.Held(now) {
			held = append(held, term.lease)
		}
	}
	slices.SortFunc(held, func(a, b platform.Lease) int { return cmp.Compare(a.Name, b.Name) })
	return held
}

func (s *Source) openTerms() []*Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	terms := make([]*Term, 0, len(s.terms))
	for term := range s.terms {
		terms = append(terms, term)
	}
	return terms
}

func (s *Source) addTerm(t *Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.terms[t] = struct{}{}
}

func (s *Source) removeTerm(t *Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.terms, t)
}
