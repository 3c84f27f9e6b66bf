// Package readback writes values whose lost answers can be resolved: each
// value carries the unique id of its write as the JSON field write_id. It holds
// no state.
package readback

import (
	"context"
	"encoding/json"
	"errors"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

// tries bounds the reads that resolve a lost answer.
const tries = 3

// ErrNotKnown says that a write may or may not have taken effect, or may yet.
var ErrNotKnown = errors.New("readback: not known whether the write took effect")

// Write is a compare-and-swap whose lost answer is resolved by reading the
// write's id back. It returns an error that wraps a *platform.ConflictError
// where the key was at another revision, and ErrNotKnown where nothing could be
// learned. After a lost answer a conflict says that the key has moved on: the
// write may have taken effect and been replaced since.
func Write(ctx context.Context, kv platform.Store, key string, expect int64, value []byte, writeID string) (platform.Entry, error) {
	entry, err := kv.CompareAndSwap(ctx, key, expect, value)
	if err == nil || !errors.Is(err, platform.ErrUnavailable) {
		return entry, errs.Wrap(errs.Platform, err, "write", key)
	}
	for range tries {
		entry, err = kv.Get(ctx, key)
		if err == nil && hasID(entry, writeID) {
			return entry, nil
		}
		if err == nil && entry.Revision != expect {
			conflict := &platform.ConflictError{Key: key, Expect: expect, Current: entry}
			return entry, errs.Wrap(errs.Platform, conflict, "write", key)
		}
		// Still at the expected revision: the write may yet arrive.
	}
	return platform.Entry{}, errs.Wrap(errs.Platform, errors.Join(ErrNotKnown, err), "read back", key)
}

// IsConflict says whether err wraps a *platform.ConflictError.
func IsConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

func hasID(entry platform.Entry, id string) bool {
	var stamp struct {
		WriteID string `json:"write_id"`
	}
	return json.Unmarshal(entry.Value, &stamp) == nil && stamp.WriteID == id
}
