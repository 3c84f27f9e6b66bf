package soak

import "time"

const (
	// restoreLasts is the age of the copy that a store comes back from.
	restoreLasts = 2 * time.Second
	// restoreAway is how long the store is away before it comes back, and writeAgainAfter the time
	// until operators and replicas have written again what was lost.
	restoreAway     = 300 * time.Millisecond
	writeAgainAfter = 500 * time.Millisecond
)

// restoreStore copies the store, and restores it from the copy after the event's time.
func (w *world) restoreStore(e event) {
	w.restoring.Lock()
	defer w.restoring.Unlock()
	copied := w.store.Copy()
	time.Sleep(e.lasts)
	w.store.SetDown(true)
	time.Sleep(restoreAway)
	writeAgain := w.store.Restore(copied)
	w.store.SetDown(false)
	time.Sleep(writeAgainAfter)
	writeAgain()
}
