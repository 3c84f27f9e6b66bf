package streamorigin

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/replica"
)

// resumeMargin is the time after a caller's deadline for which its streams are kept.
const resumeMargin = 2 * time.Second

// Tracker keeps the records of this node and finds those of others. It is safe for concurrent use.
type Tracker struct {
	options  Options
	metrics  *metrics
	records  *table
	versions *versions
	// spreader passes on the records of streams whose origin can't be inferred, copier those of all others.
	spreader *spreader
	copier   *spreader
	saver    *saver
	saved    savedRecords

	mu sync.Mutex
	// unsaved are this node's own records that only the copier has passed on.
	unsaved recordLog
}

// New returns a tracker that shares nothing until Run.
func New(options Options) *Tracker {
	t := &Tracker{options: options, records: newTable(), versions: newVersions(options.Replicas, options.Clock)}
	t.metrics = newMetrics(options.Registry, t.records.size)
	t.saver = newSaver(options, t.metrics)
	t.spreader = newSpreader(options, t.metrics, t.saver)
	t.copier = newCopier(options, t.metrics)
	return t
}

// Run passes records on to other nodes and the store until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { t.spreader.run(ctx) })
	tasks.Go(func() { t.copier.run(ctx) })
	tasks.Go(func() { t.saver.run(ctx) })
	tasks.Go(func() { t.learnHistory(ctx) })
	tasks.Wait()
}

// Began notes that a stream began, or went on, at a software version of the upstream's replicas, for the
// caller's attempt that received its first event. The caller may resume it for as long as it is
// patient. Other nodes get a copy: this one may stop before it learns of a second version, or that the route was
// split. Streams of an attempt that is not told can't be looked up and are left out.
func (t *Tracker) Began(attempt string, origin Origin, patience time.Duration, split bool) {
	if attempt == "" {
		return
	}
	now := t.options.Clock()
	r := Record{Stream: IDOf(attempt), Origin: origin, Until: now.Add(min(patience+resumeMargin, maxRetention))}
	t.records.add(r, now)
	// The lock is held from the check on, so that OnReplicaChanges misses no record.
	t.mu.Lock()
	defer t.mu.Unlock()
	if split || t.versions.areMixed(origin.Upstream) {
		t.spreader.add(r, now)
		return
	}
	t.unsaved.add(r, now)
	t.copier.add(r, now)
}

// OnReplicaChanges takes note of changed registrations. Once an upstream has a second version, the
// records of its streams are saved as well.
func (t *Tracker) OnReplicaChanges(changes []replica.Change) {
	t.versions.onReplicaChanges(changes)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Clock()
	records := t.unsaved.records
	t.unsaved = recordLog{}
	for _, r := range records {
		switch {
		case now >= r.Until:
		case t.versions.areMixed(r.Upstream):
			t.spreader.add(r, now)
		default:
			t.unsaved.add(r, now)
		}
	}
}

// Add takes in records of another node; save is whether to write them to the store.
func (t *Tracker) Add(records []Record, save bool) {
	now := t.options.Clock()
	for _, r := range records {
		t.records.add(r, now)
	}
	if save {
		t.saver.add(records, now)
	}
}

// Find returns what this node knows of the stream.
func (t *Tracker) Find(stream StreamID, upstream string) Answer {
	a := Answer{Versions: t.versions.recent(upstream), Complete: t.versions.areComplete()}
	if r, known := t.records.find(stream, t.options.Clock()); known {
		a.Record = &r
	}
	return a
}
