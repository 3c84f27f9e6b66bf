package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/platform"
)

const (
	// saveInterval is the least time between two writes of a node, and savesPerNode what is added to it
	// for each node that writes, so that all of them together write about 40 times a second at most.
	saveInterval = 250 * time.Millisecond
	savesPerNode = 25 * time.Millisecond
	// saveRetryPause is the time until the next write after one has failed.
	saveRetryPause = time.Second
	// saveTimeout bounds one write.
	saveTimeout = time.Second
	// segmentTime is how long records are added to the same key, so that each write is small.
	segmentTime = 2 * time.Second
	// leaseTime is how long a lease is used for new segments; its keys remain for maxRetention longer.
	leaseTime = 30 * time.Second
)

// saver writes records to the platform's store. It is safe for concurrent use.
type saver struct {
	options Options
	metrics *metrics
	wake    chan struct{}

	mu sync.Mutex
	// pending are the records that are not in the store yet.
	pending recordLog

	// The other fields belong to run. segment has the records of the current key, which are written
	// anew with each write.
	segment   []Record
	segments  int
	segmentAt boottime.Instant
	written   uint64
	lease     int64
	leasedAt  boottime.Instant
}

func newSaver(options Options, m *metrics) *saver {
	return &saver{options: options, metrics: m, wake: make(chan struct{}, 1)}
}

// add has the records written soon.
func (s *saver) add(records []Record, now boottime.Instant) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	for _, r := range records {
		s.pending.add(r, now)
	}
	s.mu.Unlock()
	signal(s.wake)
}

// run writes records until ctx ends.
func (s *saver) run(ctx context.Context) {
	lost := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		err := s.save(ctx)
		if ctx.Err() != nil {
			return
		}
		if failed := err != nil; failed != lost {
			lost = failed
			s.options.Log.Write(&savingChanged{err: err})
		}
		pause := saveInterval + time.Duration(s.options.Fleet.RecordSavers())*savesPerNode
		if err != nil {
			pause = saveRetryPause
			signal(s.wake)
		}
		if ctxtime.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// save writes the pending records, with those of the current segment.
func (s *saver) save(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	s.mu.Lock()
	pending, end := s.pending.since(s.written), s.pending.end()
	s.mu.Unlock()
	if len(pending) == 0 {
		return nil
	}
	now := s.options.Clock()
	if len(s.segment) == 0 || now.Sub(s.segmentAt) >= segmentTime {
		s.segment, s.segmentAt = nil, now
		s.segments++
	}
	records := append(s.segment, pending...)
	err := s.write(ctx, records, now)
	s.metrics.countSaved(len(pending), err)
	if err == nil {
		s.segment, s.written = records, end
	}
	return err
}

func (s *saver) write(ctx context.Context, records []Record, now boottime.Instant) error {
	if s.lease == 0 || now.Sub(s.leasedAt) >= leaseTime {
		lease, err := s.options.Store.Grant(ctx, leaseTime+maxRetention)
		if err != nil {
			return err
		}
		s.lease, s.leasedAt = lease, now
	}
	name := fmt.Sprintf("%s/%d", s.options.Process, s.segments)
	err := s.options.Store.SaveStreamOrigins(ctx, name, records, now, s.lease)
	if errors.Is(err, platform.ErrNotFound) {
		// The lease has ended, as after the store was restored from an older copy.
		s.lease = 0
	}
	return err
}
