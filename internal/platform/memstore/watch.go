package memstore

import (
	"context"
	"errors"
	"strings"
	"time"

	"galenatrestle/internal/platform"
)

// watcher is one waiting watch.
type watcher struct {
	prefix string
	// wake holds at most one signal that the watch must look again.
	wake chan struct{}
}

// signal wakes the watcher without waiting for it.
func (w *watcher) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Batch, error) {
	const call = platform.CallWatch
	if err := s.begin(ctx, call); err != nil {
		return platform.Batch{}, err
	}
	w := s.register(prefix)
	defer s.unregister(w)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if s.faults.isDown() {
			return platform.Batch{}, s.fail(call, platform.ErrUnavailable)
		}
		batch := s.batch(prefix, after)
		if batch.Gap || len(batch.Events) > 0 {
			return batch, nil
		}
		select {
		case <-w.wake:
		case <-timer.C:
			return s.batch(prefix, after), nil
		case <-ctx.Done():
			return platform.Batch{}, s.fail(call, cancelled(ctx))
		}
	}
}

// cancelled is the error of a call given up by its caller.
func cancelled(ctx context.Context) error {
	return errors.Join(platform.ErrUnavailable, ctx.Err())
}

// register adds a waiting watch.
func (s *Store) register(prefix string) *watcher {
	w := &watcher{prefix: prefix, wake: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[w] = struct{}{}
	return w
}

// unregister removes a waiting watch.
func (s *Store) unregister(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}

// batch returns what is known after the revision.
func (s *Store) batch(prefix string, after int64) platform.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > s.revision {
		return platform.Batch{Revision: s.revision, Gap: true}
	}
	events, gapped := s.log.since(prefix, after)
	return platform.Batch{Events: events, Revision: s.revision, Gap: gapped}
}

// publish logs an event and wakes its watchers; s.mu is held.
func (s *Store) publish(event platform.Event) {
	s.log.add(record{event: event, visibility: s.faults.visibility()})
	for w := range s.watchers {
		if strings.HasPrefix(event.Key, w.prefix) {
			w.signal()
		}
	}
}

// wakeAll wakes every waiting watch, so that it sees a new fault.
func (s *Store) wakeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watchers {
		w.signal()
	}
}

// Watchers returns the number of waiting watches.
func (s *Store) Watchers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}
