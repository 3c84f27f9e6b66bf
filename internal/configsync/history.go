package configsync

import (
	"context"
	"errors"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

// History returns the accepted records that are kept, newest first.
func (r *Repository) History(ctx context.Context) ([]Record, error) {
	head, _, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	kept, err := r.records(ctx)
	if err != nil {
		return nil, err
	}
	return chain(head, kept), nil
}

// Open returns the proposals on top of the head, in no fixed order.
func (r *Repository) Open(ctx context.Context) ([]Record, error) {
	head, _, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	kept, err := r.records(ctx)
	if err != nil {
		return nil, err
	}
	var open []Record
	for _, record := range kept {
		if record.Previous == head.ID && record.ID != head.ID {
			open = append(open, record)
		}
	}
	return open, nil
}

// Discard removes a proposal. The document goes first, so that what is left
// after a failure is still found.
func (r *Repository) Discard(ctx context.Context, record Record) error {
	for chunk := range record.Chunks {
		if err := r.remove(ctx, bodyKey(record.ID, chunk)); err != nil {
			return err
		}
	}
	return r.remove(ctx, recordKey(record.ID))
}

func (r *Repository) remove(ctx context.Context, key string) error {
	err := retry(ctx, func() error {
		entry, err := r.store.Get(ctx, key)
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		return r.store.Delete(ctx, key, entry.Revision)
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return errs.Wrap(errs.Platform, err, "remove configuration", storePeer)
}

// Sweep removes what can never be accepted any more or is older than the
// history that is kept. It returns the number of records removed.
func (r *Repository) Sweep(ctx context.Context) (int, error) {
	head, _, err := r.Head(ctx)
	if err != nil {
		return 0, err
	}
	kept, err := r.records(ctx)
	if err != nil {
		return 0, err
	}
	keep := make(map[string]bool, MaxHistory)
	for _, record := range chain(head, kept) {
		keep[record.ID] = true
	}
	removed := 0
	for _, record := range kept {
		if keep[record.ID] || record.Base >= head.Revision {
			continue
		}
		if err := r.Discard(ctx, record); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}

// records returns all records by id.
func (r *Repository) records(ctx context.Context) (map[string]Record, error) {
	entries, _, err := r.store.List(ctx, recordPrefix)
	if err != nil {
		return nil, errs.Wrap(errs.Platform, err, "list configurations", storePeer)
	}
	records := make(map[string]Record, len(entries))
	for _, entry := range entries {
		record, err := decodeRecord(entry.Value)
		if err != nil {
			return nil, errs.Wrap(errs.Platform, err, "decode configuration record", storePeer)
		}
		records[record.ID] = record
	}
	return records, nil
}

// chain returns the accepted records from the head down, at most MaxHistory.
func chain(head Record, kept map[string]Record) []Record {
	if head.ID == "" {
		return nil
	}
	accepted := []Record{head}
	for len(accepted) < MaxHistory {
		previous, ok := kept[accepted[len(accepted)-1].Previous]
		if !ok {
			return accepted
		}
		accepted = append(accepted, previous)
	}
	return accepted
}
