package resolve

import (
	"context"
	"errors"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/platform"
)

// Store is the part of platform.Store that resolving needs.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expect int64, value []byte) (platform.Entry, error)
}

// CompareAndSwap writes and, where the answer is lost, finds out what became
// of the write, for as long as ctx lasts.
//
// While the key still is at the expected revision, a delayed first attempt
// could yet arrive; so the same write is sent again. Both attempts ask for one
// revision, and so at most one of them takes effect. That does not hold for a
// key that others delete: create such a key only where History knows of it.
func CompareAndSwap(ctx context.Context, store Store, write Write, pauses Pauses) Result {
	result, settled := firstAttempt(ctx, store, write)
	if settled {
		return result
	}
	r := &resolver{store: store, write: write, last: result}
	return r.run(ctx, pauses)
}

// firstAttempt sends the write; not settled means that its answer was lost.
func firstAttempt(ctx context.Context, store Store, write Write) (Result, bool) {
	entry, err := store.CompareAndSwap(ctx, write.Key, write.Expect, write.Value)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return Result{Outcome: Applied, Entry: entry}, true
	case errors.As(err, &conflict):
		return Result{Outcome: NotApplied, Entry: conflict.Current, Err: err}, true
	case errors.Is(err, platform.ErrRateLimited), errors.Is(err, platform.ErrTooLarge):
		return Result{Outcome: NotApplied, Err: err}, true
	default:
		return Result{Outcome: Unknown, Err: err}, false
	}
}

// resolver is one write whose answer was lost.
type resolver struct {
	store Store
	write Write
	// last is what is known so far; its outcome is Unknown.
	last Result
}

// run looks until the outcome is settled or ctx ends.
func (r *resolver) run(ctx context.Context, pauses Pauses) Result {
	pause := pauses.First
	for {
		if result, settled := r.look(ctx); settled {
			return result
		}
		if ctxtime.Sleep(ctx, pause) != nil {
			return r.last
		}
		pause = min(2*pause, pauses.Max)
	}
}

// look reads the key once and judges what it finds.
func (r *resolver) look(ctx context.Context) (Result, bool) {
	entry, err := r.store.Get(ctx, r.write.Key)
	if errors.Is(err, platform.ErrNotFound) {
		entry, err = platform.Entry{Key: r.write.Key}, nil
	}
	if err != nil {
		return r.unsettled(err)
	}
	if entry.Revision == r.write.Expect {
		return r.again(ctx)
	}
	return r.judge(entry, nil)
}

// again sends the same write once more.
func (r *resolver) again(ctx context.Context) (Result, bool) {
	entry, err := r.store.CompareAndSwap(ctx, r.write.Key, r.write.Expect, r.write.Value)
	if err == nil {
		return Result{Outcome: Applied, Entry: entry}, true
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return r.judge(conflict.Current, err)
	}
	return r.unsettled(err)
}

// judge decides by an entry that is not at the expected revision; conflict is
// the error to tell where the write lost, or nil.
func (r *resolver) judge(entry platform.Entry, conflict error) (Result, bool) {
	r.last.Entry = entry
	applied, err := r.contains(entry)
	if err != nil {
		return r.final(Unknown, err)
	}
	if applied {
		return r.final(Applied, nil)
	}
	if r.write.History == nil {
		return r.final(Unknown, r.last.Err)
	}
	applied, err = r.write.History(entry)
	switch {
	case err != nil:
		return r.final(Unknown, err)
	case applied:
		return r.final(Applied, nil)
	case conflict == nil:
		conflict = &platform.ConflictError{Key: r.write.Key, Expect: r.write.Expect, Current: entry}
	}
	return r.final(NotApplied, conflict)
}

// contains asks the write about an entry that exists.
func (r *resolver) contains(entry platform.Entry) (bool, error) {
	if entry.Revision == 0 {
		return false, nil
	}
	return r.write.Contains(entry)
}

// final settles the write with the entry last seen.
func (r *resolver) final(outcome Outcome, err error) (Result, bool) {
	return Result{Outcome: outcome, Entry: r.last.Entry, Err: err}, true
}

// unsettled keeps the error and goes on.
func (r *resolver) unsettled(err error) (Result, bool) {
	r.last.Err = err
	return r.last, false
}
