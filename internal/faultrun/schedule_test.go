package faultrun

import (
	"reflect"
	"testing"
	"time"
)

func sizes() Options {
	return Options{Nodes: 4, Engines: 6, Services: DefaultServices, For: 5 * time.Second}
}

func TestSeedFixesTheSchedule(t *testing.T) {
	if a, b := Draw(7, sizes()), Draw(7, sizes()); !reflect.DeepEqual(a, b) {
		t.Error("one seed gives two schedules")
	}
	if a, b := Draw(7, sizes()), Draw(8, sizes()); reflect.DeepEqual(a.Events, b.Events) {
		t.Error("two seeds give the same events")
	}
}

// TestEveryKindIsDrawn draws many schedules: each kind of event must come, some
// at the same time as another, and each target must exist.
func TestEveryKindIsDrawn(t *testing.T) {
	const seeds = 200
	seen := make(map[Kind]int)
	pairs, poison := 0, 0
	for seed := range uint64(seeds) {
		s := Draw(seed, sizes())
		if s.Poison {
			poison++
		}
		for i, e := range s.Events {
			seen[e.Kind]++
			if i > 0 && e.At == s.Events[i-1].At {
				pairs++
			}
			if e.Target < 0 || e.Target >= e.targets(sizes()) || e.At >= sizes().For {
				t.Fatalf("seed %d draws %s", seed, e)
			}
		}
	}
	for _, kind := range append([]Kind{PlatformRestored}, drawn...) {
		if seen[kind] == 0 {
			t.Errorf("%s is never drawn", kind)
		}
	}
	if pairs == 0 || poison == 0 || poison == seeds {
		t.Errorf("%d pairs, %d schedules of %d with a poison prompt", pairs, poison, seeds)
	}
}

// TestOffersAreUnique checks that no two answers can be taken for each other.
func TestOffersAreUnique(t *testing.T) {
	prompts := make(map[string]bool)
	copies := 0
	for _, offer := range Draw(3, sizes()).Offers {
		if prompts[offer.Prompt] && offer.Stream.Name != poisonText {
			t.Errorf("prompt %q is drawn twice", offer.Prompt)
		}
		prompts[offer.Prompt] = true
		copies = max(copies, offer.Copies)
	}
	if copies != mostCopies {
		t.Errorf("the most copies at once are %d, want %d", copies, mostCopies)
	}
}
