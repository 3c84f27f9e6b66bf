package answer

import (
	"context"
	"sync"
)

// Reader follows one answer. It holds no events of its own, so that a slow
// caller costs no memory beside the answer's, which stays while it is read.
type Reader struct {
	record *Record
	// after is the id of the last event returned.
	after int64
	once  sync.Once
}

// Reader returns a reader of the events after the id, or ErrBadPosition, or
// ErrUnknown where the answer was evicted. It must be closed.
func (r *Record) Reader(after int64) (*Reader, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return nil, ErrUnknown
	}
	if after < 0 || after > int64(r.events.len()) {
		return nil, ErrBadPosition
	}
	r.readers++
	return &Reader{record: r, after: after}, nil
}

// Next waits for events and returns all that are there, or, once all are
// returned and the answer has ended, none and the final status. It
// returns ctx's error.
func (r *Reader) Next(ctx context.Context) ([]Event, Status, error) {
	for {
		events, status, changed := r.look()
		if len(events) > 0 || status.State != Running {
			return events, status, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, status, ctx.Err()
		}
	}
}

// Close lets the answer be evicted.
func (r *Reader) Close() {
	r.once.Do(func() {
		r.record.mu.Lock()
		defer r.record.mu.Unlock()
		r.record.readers--
	})
}

// look returns what is new and, where nothing is, a channel to wait on. The
// status is final only along with no events.
func (r *Reader) look() ([]Event, Status, <-chan struct{}) {
	record := r.record
	record.mu.Lock()
	defer record.mu.Unlock()
	events := record.events.after(r.after)
	if len(events) > 0 {
		r.after = events[len(events)-1].ID
		status := record.status
		status.State = Running
		return events, status, nil
	}
	if record.changed == nil {
		record.changed = make(chan struct{})
	}
	return nil, record.status, record.changed
}

// Snapshot returns the answer as far as it has come, or ErrUnknown where it was
// evicted.
func (r *Record) Snapshot() (Status, []Event, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone {
		return Status{}, nil, ErrUnknown
	}
	return r.status, r.events.after(0), nil
}

// Readers returns the number of open readers.
func (r *Record) Readers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers
}

// Begun says whether the answer has an event.
func (r *Record) Begun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events.len() > 0
}
