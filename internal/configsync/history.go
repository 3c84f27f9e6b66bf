package configsync

import (
	"context"
	"errors"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

// maxStaleAge is how many revisions the record of a stale proposal outlives
// its base.
const maxStaleAge = 20

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
	return r.openOn(ctx, head)
}

func (r *Repository) openOn(ctx context.Context, head Record) ([]Record, error) {
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
	if err := r.removeBody(ctx, record); err != nil {
		return err
	}
	return r.remove(ctx, recordKey(record.ID))
}

func (r *Repository) removeBody(ctx context.Context, record Record) error {
	for chunk := range record.Chunks {
		if err := r.remove(ctx, bodyKey(record.ID, chunk)); err != nil {
			return err
		}
	}
	return nil
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
	if isConflict(err) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return errs.Wrap(errs.Platform, err, "remove configuration", storePeer)
}

// Sweep removes what is older than the kept history, and the documents of
// proposals that are stale; their records stay for a while, so that whoever
// confirms one is told why it is refused. It returns the number of records
// that it removed or emptied.
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
	swept := 0
	for _, record := range kept {
		if keep[record.ID] || record.Base >= head.Revision {
			continue
		}
		done, err := r.sweepOne(ctx, record, head.Revision-record.Base > maxStaleAge)
		if err != nil {
			return swept, err
		}
		swept += done
	}
	return swept, nil
}

func (r *Repository) sweepOne(ctx context.Context, record Record, old bool) (int, error) {
	if old {
		return 1, r.Discard(ctx, record)
	}
	if record.Chunks == 0 {
		return 0, nil
	}
	if err := r.removeBody(ctx, record); err != nil {
		return 0, err
	}
	record.Chunks = 0
	record.Patch = nil
	return 1, r.rewrite(ctx, record)
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

// Standing is what became of a record.
type Standing string

// The standings of a record.
const (
	StandingOpen     Standing = "open"
	StandingAccepted Standing = "accepted"
	StandingStale    Standing = "stale"
)

// StandingOf tells what became of a record, and the newest accepted one.
func (r *Repository) StandingOf(ctx context.Context, record Record) (Standing, Record, error) {
	head, _, err := r.Head(ctx)
	if err != nil {
		return "", Record{}, err
	}
	if record.ID == head.ID {
		return StandingAccepted, head, nil
	}
	if record.Previous == head.ID {
		return StandingOpen, head, nil
	}
	kept, err := r.records(ctx)
	if err != nil {
		return "", Record{}, err
	}
	if _, found := findAccepted(chain(head, kept), record.ID); found {
		return StandingAccepted, head, nil
	}
	return StandingStale, head, nil
}

// AtRevision returns the accepted record of the revision, or
// ErrNoSuchRevision. Zero stands for the newest.
func (r *Repository) AtRevision(ctx context.Context, revision int64) (Record, error) {
	accepted, err := r.History(ctx)
	if err != nil {
		return Record{}, err
	}
	for _, record := range accepted {
		if record.Revision == revision || revision == 0 {
			return record, nil
		}
	}
	return Record{}, ErrNoSuchRevision
}
