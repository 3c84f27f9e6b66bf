package configsync

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

const (
	// MaxHistory is the number of accepted revisions that are kept.
	MaxHistory = 50
	// MaxOpen is the number of proposals that may be open.
	MaxOpen = 50
)

// storePeer names the platform in errors.
const storePeer = "platform"

// Repository reads and writes configurations in the platform's store. It is
// safe for concurrent use and keeps nothing itself.
type Repository struct {
	store platform.Store
	newID func() string
	now   func() time.Time
}

// NewRepository returns a repository; newID gives unique ids.
func NewRepository(store platform.Store, newID func() string, now func() time.Time) *Repository {
	return &Repository{store: store, newID: newID, now: now}
}

// Head returns the newest accepted record, or a zero Record where none was
// ever accepted, and the store's revision of the head key.
func (r *Repository) Head(ctx context.Context) (Record, int64, error) {
	entry, err := r.store.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, errs.Wrap(errs.Platform, err, "read newest configuration", storePeer)
	}
	record, err := decodeRecord(entry.Value)
	return record, entry.Revision, errs.Wrap(errs.Platform, err, "decode newest configuration", storePeer)
}

// WaitHead waits until the head changes after the store's revision, or until
// wait has passed. It returns the store's revision to go on from, and a record
// where there is news.
func (r *Repository) WaitHead(ctx context.Context, after int64, wait time.Duration) (*Record, int64, error) {
	batch, err := r.store.Watch(ctx, headKey, after, wait)
	if err != nil {
		return nil, after, errs.Wrap(errs.Platform, err, "watch configuration", storePeer)
	}
	if !batch.Gap && len(batch.Events) == 0 {
		return nil, batch.Revision, nil
	}
	// Also after a gap: the head's present value is all that matters.
	record, _, err := r.Head(ctx)
	if err != nil {
		return nil, after, err
	}
	return &record, batch.Revision, nil
}

// Document reads and checks the document of a record.
func (r *Repository) Document(ctx context.Context, record Record) (*config.Document, error) {
	want, err := record.sum()
	if err != nil {
		return nil, errs.Wrap(errs.Platform, err, "check configuration record", storePeer)
	}
	var packed []byte
	for chunk := range min(record.Chunks, maxPackedBytes/chunkBytes) {
		entry, err := r.store.Get(ctx, bodyKey(record.ID, chunk))
		if err != nil {
			return nil, errs.Wrap(errs.Platform, err, "read configuration", storePeer)
		}
		packed = append(packed, entry.Value...)
	}
	document, err := unpackDocument(packed, record.Revision, want)
	return document, errs.Wrap(errs.Platform, err, "unpack configuration", storePeer)
}

// Stage writes a proposal of revision on top of base. Nothing is in force by
// it. The record goes before the document, so that a document never lacks the
// record by which it is found and removed.
func (r *Repository) Stage(ctx context.Context, base Record, baseDocument, document *config.Document, revision int64, author string) (Record, error) {
	canonical := config.Canonical(document)
	packed, sum, err := packDocument(canonical)
	if err != nil {
		return Record{}, errs.Wrap(errs.Operator, err, "pack configuration", author)
	}
	if len(packed) > maxPackedBytes {
		return Record{}, &TooLargeError{Bytes: len(packed)}
	}
	chunks := split(packed)
	record := Record{
		ID: r.newID(), Revision: revision, Base: base.Revision, Previous: base.ID, Author: author,
		Created: r.now(), Sum: hex.EncodeToString(sum[:]), Chunks: len(chunks),
		Summary: summarize(baseDocument, canonical),
	}
	if baseDocument != nil {
		if record.Patch, err = packPatch(baseDocument, canonical); err != nil {
			return Record{}, errs.Wrap(errs.Operator, err, "pack patch", author)
		}
	}
	if err := r.create(ctx, recordKey(record.ID), record); err != nil {
		return Record{}, err
	}
	for i, chunk := range chunks {
		if err := r.createValue(ctx, bodyKey(record.ID, i), chunk); err != nil {
			return Record{}, err
		}
	}
	return record, nil
}

func (r *Repository) create(ctx context.Context, key string, record Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errs.Wrap(errs.Platform, err, "encode configuration record", storePeer)
	}
	return r.createValue(ctx, key, value)
}

// createValue writes a key of our own id. A conflict means that an earlier try
// whose answer was lost took effect.
func (r *Repository) createValue(ctx context.Context, key string, value []byte) error {
	_, err := r.write(ctx, uniqueWrite(key, 0, value))
	if isConflict(err) {
		return nil
	}
	return errs.Wrap(errs.Platform, err, "write proposal", storePeer)
}

// Proposal returns the record of the id, accepted or not.
func (r *Repository) Proposal(ctx context.Context, id string) (Record, error) {
	entry, err := r.store.Get(ctx, recordKey(id))
	if errors.Is(err, platform.ErrNotFound) {
		return Record{}, ErrNoSuchProposal
	}
	if err != nil {
		return Record{}, errs.Wrap(errs.Platform, err, "read proposal", storePeer)
	}
	record, err := decodeRecord(entry.Value)
	return record, errs.Wrap(errs.Platform, err, "decode proposal", storePeer)
}
