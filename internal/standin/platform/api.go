package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/platform/wire"
)

// maxRequestBytes bounds a request: a largest value in base64 and its frame,
// and room for one that is too large to be told so by the store.
const maxRequestBytes = 4 * platform.MaxValueBytes

// API returns the handler of the platform's calls.
func API(store *memstore.Store) http.Handler {
	mux := http.NewServeMux()
	register(mux, platform.CallGet, func(ctx context.Context, q wire.GetRequest) (platform.Entry, error) {
		return store.Get(ctx, q.Key)
	})
	register(mux, platform.CallList, func(ctx context.Context, q wire.ListRequest) (wire.ListResponse, error) {
		entries, revision, err := store.List(ctx, q.Prefix)
		return wire.ListResponse{Entries: entries, Revision: revision}, err
	})
	register(mux, platform.CallCompareAndSwap, func(ctx context.Context, q wire.CompareAndSwapRequest) (platform.Entry, error) {
		entry, err := store.CompareAndSwap(ctx, q.Key, q.Expect, q.Value)
		return platform.Entry{Key: entry.Key, Revision: entry.Revision}, err
	})
	register(mux, platform.CallDelete, func(ctx context.Context, q wire.DeleteRequest) (wire.Empty, error) {
		return wire.Empty{}, store.Delete(ctx, q.Key, q.Expect)
	})
	register(mux, platform.CallWatch, func(ctx context.Context, q wire.WatchRequest) (platform.Batch, error) {
		return store.Watch(ctx, q.Prefix, q.After, q.Wait.Std())
	})
	registerLeases(mux, store)
	registerLists(mux, store)
	return mux
}

// registerLeases adds the lease calls.
func registerLeases(mux *http.ServeMux, store *memstore.Store) {
	register(mux, platform.CallAcquire, func(ctx context.Context, q wire.Lease) (wire.Lease, error) {
		lease, err := store.Acquire(ctx, q.Name, q.Holder, q.TTL.Std())
		return wire.FromLease(lease), err
	})
	register(mux, platform.CallRenew, func(ctx context.Context, q wire.Lease) (wire.Lease, error) {
		lease, err := store.Renew(ctx, q.Platform())
		return wire.FromLease(lease), err
	})
	register(mux, platform.CallRelease, func(ctx context.Context, q wire.Lease) (wire.Empty, error) {
		return wire.Empty{}, store.Release(ctx, q.Platform())
	})
}

// registerLists adds the calls of the instance list and the weight store.
func registerLists(mux *http.ServeMux, store *memstore.Store) {
	register(mux, platform.CallInstances, func(ctx context.Context, _ wire.Empty) (wire.InstancesResponse, error) {
		instances, err := store.Instances(ctx)
		return wire.InstancesResponse{Instances: instances}, err
	})
	register(mux, platform.CallReserve, func(ctx context.Context, q wire.ReserveRequest) (wire.Empty, error) {
		return wire.Empty{}, store.Reserve(ctx, q.Model, q.Version)
	})
}

// register adds the handler of one call.
func register[Q, A any](mux *http.ServeMux, call platform.Call, do func(context.Context, Q) (A, error)) {
	mux.HandleFunc("POST "+wire.Path(call), func(w http.ResponseWriter, r *http.Request) {
		var question Q
		if err := read(w, r, &question); err != nil {
			fail(w, err)
			return
		}
		answer, err := do(r.Context(), question)
		if err != nil {
			fail(w, err)
			return
		}
		write(w, http.StatusOK, answer)
	})
}

// read decodes a request.
func read(w http.ResponseWriter, r *http.Request, question any) error {
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	err := json.NewDecoder(body).Decode(question)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return platform.ErrTooLarge
	}
	return err
}

// fail answers a failed call; an unavailable platform breaks the connection.
func fail(w http.ResponseWriter, err error) {
	if errors.Is(err, platform.ErrUnavailable) {
		panic(http.ErrAbortHandler)
	}
	failure := wire.FromError(err)
	write(w, failure.Status(), failure)
}

// write encodes an answer.
func write(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Only the connection can fail here, and its reader is then gone.
	_ = json.NewEncoder(w).Encode(answer)
}
