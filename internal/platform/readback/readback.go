// Package readback writes JSON values that carry their write's unique id in the
// field write_id, and resolves lost answers by package resolve. It holds no
// state; in a platform outage a write waits up to patience and is then not
// known.
package readback

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/resolve"
)

// patience bounds the time that one write's lost answer is resolved for.
const patience = time.Second

// ErrNotKnown says that a write may or may not have taken effect, or may yet.
var ErrNotKnown = errors.New("readback: not known whether the write took effect")

// Write is a compare-and-swap whose lost answer is resolved. It returns an
// error that wraps a *platform.ConflictError where the key has moved on, and
// ErrNotKnown where nothing could be learned. A conflict after a lost answer
// leaves open whether the write took effect and was replaced since.
func Write(ctx context.Context, kv resolve.Store, key string, expect int64, value []byte, writeID string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	write := resolve.Write{Key: key, Expect: expect, Value: value, Contains: hasID(writeID)}
	result := resolve.CompareAndSwap(ctx, kv, write, resolve.DefaultPauses)
	switch {
	case result.Outcome == resolve.Applied:
		return result.Entry, nil
	case result.Outcome == resolve.NotApplied:
		return result.Entry, errs.Wrap(errs.Platform, result.Err, "write", key)
	case result.Entry.Revision != 0 && result.Entry.Revision != expect:
		conflict := &platform.ConflictError{Key: key, Expect: expect, Current: result.Entry}
		return result.Entry, errs.Wrap(errs.Platform, conflict, "write", key)
	}
	return platform.Entry{}, errs.Wrap(errs.Platform, errors.Join(ErrNotKnown, result.Err), "read back", key)
}

// IsConflict says whether err wraps a *platform.ConflictError.
func IsConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// hasID returns a check for values that carry the id.
func hasID(id string) func(platform.Entry) (bool, error) {
	return func(entry platform.Entry) (bool, error) {
		var stamp struct {
			WriteID string `json:"write_id"`
		}
		err := json.Unmarshal(entry.Value, &stamp)
		return stamp.WriteID == id, err
	}
}
