package platform

import "testing"

func TestPositionsAreOrderedByEraThenRevision(t *testing.T) {
	ordered := []Position{0, NewPosition(0, 1), NewPosition(0, 1<<39), NewPosition(1, 0), NewPosition(1, 7), NewPosition(2, 3)}
	for i := 1; i < len(ordered); i++ {
		if ordered[i-1] >= ordered[i] {
			t.Errorf("position %d is not before position %d", i-1, i)
		}
	}
	if p := NewPosition(3, 41); p.Era() != 3 || p.Revision() != 41 {
		t.Errorf("era %d, revision %d", p.Era(), p.Revision())
	}
	if p := NewPosition(0, 41); p != 41 {
		t.Errorf("position %d of a store without eras, want its revision", p)
	}
}
