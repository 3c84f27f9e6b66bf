package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
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
	err := r.write(ctx, headKey, expect, value)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return record, nil
	case errors.As(err, &conflict):
		return r.afterConflict(ctx, conflict.Current, record)
	default:
		return Record{}, errs.Wrap(errs.Platform, err, "accept configuration", storePeer)
	}
}

// afterConflict tells whose write the head has: another try of this one's may
// have taken effect, with another time of acceptance.
func (r *Repository) afterConflict(ctx context.Context, current platform.Entry, record Record) (Record, error) {
	if current.Revision == 0 {
		return Record{}, &StaleError{Base: record.Base}
	}
	head, err := decodeRecord(current.Value)
	if err != nil {
		return Record{}, errs.Wrap(errs.Platform, err, "decode newest configuration", storePeer)
	}
	if head.ID == record.ID {
		return head, nil
	}
	return r.acceptedBefore(ctx, head, record)
}

// acceptedBefore looks for the record among the accepted ones below the head:
// another operator may have built on it before its answer came.
func (r *Repository) acceptedBefore(ctx context.Context, head, record Record) (Record, error) {
	kept, err := r.records(ctx)
	if err != nil {
		return Record{}, errs.Wrap(errs.Platform, fmt.Errorf("%w: %w", ErrUnknownOutcome, err), "accept configuration", storePeer)
	}
	for _, accepted := range chain(head, kept) {
		if accepted.ID == record.ID {
			return accepted, nil
		}
	}
	return Record{}, &StaleError{Base: record.Base, Newest: head}
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
	err = r.write(ctx, recordKey(record.ID), entry.Revision, value)
	return errs.Wrap(errs.Platform, err, "rewrite configuration record", storePeer)
}
