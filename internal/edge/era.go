package edge

import (
	"sync"

	"galenatrestle/internal/eventlog"
)

// eraWatcher logs when the store was restored from an older copy. It is safe for concurrent use.
type eraWatcher struct {
	store Store
	log   *eventlog.Log

	mu sync.Mutex
	// known is set once an era was observed.
	known bool
	era   int64
}

// observe compares the era that the store's answers have told with that of the last call.
func (w *eraWatcher) observe() {
	era := w.store.Era()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known && era > w.era {
		w.log.Write(&storeRestored{era: era, previous: w.era})
	}
	w.known, w.era = true, max(w.era, era)
}
