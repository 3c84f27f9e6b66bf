package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/resolve"
)

// Commit accepts a staged record by one compare-and-swap of the head. It
// returns the accepted record, a *StaleError where the base has moved, or
// ErrUnknownOutcome. Committing a record that is accepted already returns it
// again.
func (r *Repository) Commit(ctx context.Context, record Record) (Record, error) {
	head, storeRevision, err := r.Head(ctx)
	if err != nil {
		return Record{}, err
	}
	if head.ID == record.ID {
		return head, nil
	}
	if head.ID != record.Previous || head.Revision != record.Base {
		return r.acceptedBefore(ctx, head, record)
	}
	record.Accepted = r.now()
	value, err := json.Marshal(record)
	if err != nil {
		return Record{}, errs.Wrap(errs.Platform, err, "encode configuration record", storePeer)
	}
	return r.swapHead(ctx, storeRevision, record, value)
}

func (r *Repository) swapHead(ctx context.Context, expect int64, record Record, value []byte) (Record, error) {
	entry, err := r.write(ctx, resolve.Write{
		Key: headKey, Expect: expect, Value: value,
		Contains: func(entry platform.Entry) (bool, error) {
			head, err := decodeRecord(entry.Value)
			return head.ID == record.ID, err
		},
		History: func(entry platform.Entry) (bool, error) { return r.isBelow(ctx, entry, record.ID) },
	})
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return r.afterConflict(ctx, conflict.Current, record)
	case err != nil:
		return Record{}, errs.Wrap(errs.Platform, err, "accept configuration", storePeer)
	}
	// Where the same record was confirmed at two nodes, the head has the time
	// of the one that was first.
	if head, err := decodeRecord(entry.Value); err == nil && head.ID == record.ID {
		return head, nil
	}
	return record, nil
}

// isBelow tells whether the record was accepted below the head in the entry:
// another operator may have built on it before its answer came.
func (r *Repository) isBelow(ctx context.Context, entry platform.Entry, id string) (bool, error) {
	head, err := decodeRecord(entry.Value)
	if err != nil {
		return false, err
	}
	kept, err := r.records(ctx)
	if err != nil {
		return false, err
	}
	_, found := findAccepted(chain(head, kept), id)
	return found, nil
}

// afterConflict tells whose write the head has.
func (r *Repository) afterConflict(ctx context.Context, current platform.Entry, record Record) (Record, error) {
	if current.Revision == 0 {
		return Record{}, &StaleError{Base: record.Base}
	}
	head, err := decodeRecord(current.Value)
	if err != nil {
		return Record{}, errs.Wrap(errs.Platform, err, "decode newest configuration", storePeer)
	}
	return r.acceptedBefore(ctx, head, record)
}

// acceptedBefore returns the record if it is the head or below it, else a
// *StaleError.
func (r *Repository) acceptedBefore(ctx context.Context, head, record Record) (Record, error) {
	kept, err := r.records(ctx)
	if err != nil {
		return Record{}, errs.Wrap(errs.Platform, fmt.Errorf("%w: %w", ErrUnknownOutcome, err), "accept configuration", storePeer)
	}
	if accepted, found := findAccepted(chain(head, kept), record.ID); found {
		return accepted, nil
	}
	return Record{}, &StaleError{Base: record.Base, Newest: head}
}

func findAccepted(accepted []Record, id string) (Record, bool) {
	i := slices.IndexFunc(accepted, func(r Record) bool { return r.ID == id })
	if i < 0 {
		return Record{}, false
	}
	return accepted[i], true
}

// rewrite replaces a kept record, to note the time of acceptance or that the
// document is gone.
func (r *Repository) rewrite(ctx context.Context, record Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errs.Wrap(errs.Platform, err, "encode configuration record", storePeer)
	}
	entry, err := r.store.Get(ctx, recordKey(record.ID))
	if err != nil {
		return errs.Wrap(errs.Platform, err, "read configuration record", storePeer)
	}
	_, err = r.write(ctx, uniqueWrite(recordKey(record.ID), entry.Revision, value))
	return errs.Wrap(errs.Platform, err, "rewrite configuration record", storePeer)
}
