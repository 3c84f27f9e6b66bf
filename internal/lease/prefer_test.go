package lease

import (
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// startUnpreferred starts n processes that are not preferred.
func startUnpreferred(t *testing.T, store *memstore.Store, n int) []*process {
	t.Helper()
	var all []*process
	for i := range n {
		all = append(all, startWithPreference(t, store, strings.Repeat("o", i+1), func() bool { return false }))
	}
	return all
}

func TestUnpreferredTriesRarely(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		all := append(startUnpreferred(t, store, 29), startWithPreference(t, store, "preferred", always))
		time.Sleep(2 * ttl)
		before := store.Calls()[platform.CallAcquire].Calls
		const lengths = 20
		time.Sleep(lengths * ttl)
		tries := store.Calls()[platform.CallAcquire].Calls - before
		// Without a preference each of the 29 contenders would try four times per TTL.
		if bound := int64(lengths * 29 * 4 / 12); tries == 0 || tries > bound {
			t.Errorf("%d acquire calls for a held lease, want between 1 and %d", tries, bound)
		}
		finish(t, all...)
	})
}

func TestUnpreferredTakesOverWhenPreferredIsCutOff(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		store := memstore.New(memstore.Config{})
		first := startWithPreference(t, store, "preferred", always)
		time.Sleep(ttl)
		expect(t, "at first", first, 1)
		first.store.cut.Store(true)
		others := startUnpreferred(t, store, 7)
		time.Sleep(10 * ttl)
		expect(t, "cut off", first, 0)
		held := 0
		for _, p := range others {
			if _, ok := p.held(); ok {
				held++
			}
		}
		if held != 1 {
			t.Errorf("%d of the others hold the lease, want 1", held)
		}
		first.store.cut.Store(false)
		finish(t, append(others, first)...)
	})
}
