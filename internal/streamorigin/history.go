package streamorigin

import (
	"context"
	"time"

	"galenatrestle/internal/ctxtime"
)

// learnHistory reads the records in the store once, so that this process knows which versions served
// before its start, also if the store is away when that matters. In a large fleet only the nodes that
// others ask do so.
func (t *Tracker) learnHistory(ctx context.Context) {
	for !t.versions.areComplete() {
		if ctxtime.Sleep(ctx, firstSavedRead+time.Duration(t.options.Rand.Int64N(int64(firstSavedRead)))) != nil {
			return
		}
		if _, savesItself := t.options.Fleet.RecordKeepers(); !savesItself && t.options.Fleet.RecordSavers() > 1 {
			return
		}
		// Resolve reports errors of the store if they matter.
		if records, err := t.saved.load(ctx, t.options.Store, t.options.Clock); err == nil {
			t.learn(records)
		}
	}
}

// learn takes in all records in the store.
func (t *Tracker) learn(records []Record) {
	now := t.options.Clock()
	for _, r := range records {
		t.records.add(r, now)
	}
	t.versions.onSavedRecords(records)
}
