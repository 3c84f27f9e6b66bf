package streamorigin

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ctxtime"
)

const (
	// shareDelay is how long records are collected before they are passed on: short compared with the
	// time for which streams last. In a large fleet, where a few nodes take the records of all, it is
	// largeShareDelay.
	shareDelay      = 20 * time.Millisecond
	largeShareDelay = 250 * time.Millisecond
	// copyDelay and largeCopyDelay are the same for streams whose origin is ambiguous only once a release
	// begins or their route is split.
	copyDelay      = 250 * time.Millisecond
	largeCopyDelay = 500 * time.Millisecond
	// shareRetryPause is the time until records are passed on again that a node did not take.
	shareRetryPause = 100 * time.Millisecond
	// shareTimeout bounds one call.
	shareTimeout = 300 * time.Millisecond
)

// spreader passes the records of this node's streams on to their keepers. It is safe for concurrent use.
type spreader struct {
	options Options
	metrics *metrics
	// saver writes those records that this node saves itself. nil: the records are not saved by any node.
	saver *saver
	// delay is how long records are collected, largeDelay the same in a large fleet.
	delay, largeDelay time.Duration
	wake              chan struct{}

	mu  sync.Mutex
	log recordLog
	// sent is the position up to which each keeper has the records, by name.
	sent map[string]uint64
}

// newSpreader returns a spreader of records that are saved in the store as well.
func newSpreader(options Options, m *metrics, saver *saver) *spreader {
	return &spreader{
		options: options, metrics: m, saver: saver, delay: shareDelay, largeDelay: largeShareDelay,
		wake: make(chan struct{}, 1), sent: make(map[string]uint64),
	}
}

// newCopier returns a spreader of records that other nodes keep but nobody saves.
func newCopier(options Options, m *metrics) *spreader {
	s := newSpreader(options, m, nil)
	s.delay, s.largeDelay = copyDelay, largeCopyDelay
	return s
}

// add has the record passed on soon.
func (s *spreader) add(r Record, now boottime.Instant) {
	s.mu.Lock()
	s.log.add(r, now)
	s.mu.Unlock()
	signal(s.wake)
}

// signal wakes the channel's reader, unless it is about to wake already.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// run passes records on until ctx ends.
func (s *spreader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if ctxtime.Sleep(ctx, s.currentDelay()) != nil {
			return
		}
		if s.share(ctx) {
			continue
		}
		if ctxtime.Sleep(ctx, shareRetryPause) != nil {
			return
		}
		signal(s.wake)
	}
}

func (s *spreader) currentDelay() time.Duration {
	if s.options.Fleet.RecordSavers() > 1 {
		return s.largeDelay
	}
	return s.delay
}

// selfName is the key of the positions for records that this node saves itself.
const selfName = ""

// share passes new records on to all keepers, and reports whether all took them.
func (s *spreader) share(ctx context.Context) bool {
	keepers, savesItself := s.options.Fleet.RecordKeepers()
	s.forgetOthers(keepers)
	if savesItself && s.saver != nil {
		records, end := s.unsent(selfName)
		s.saver.add(records, s.options.Clock())
		s.markSent(selfName, end)
	}
	results := make([]bool, len(keepers))
	var calls sync.WaitGroup
	for i, keeper := range keepers {
		calls.Go(func() { results[i] = s.shareWith(ctx, keeper, i == 0 && !savesItself && s.saver != nil) })
	}
	calls.Wait()
	for _, taken := range results {
		if !taken {
			return false
		}
	}
	return true
}

func (s *spreader) shareWith(ctx context.Context, keeper Node, save bool) bool {
	records, end := s.unsent(keeper.Name)
	if len(records) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	err := s.options.Peers.Add(ctx, keeper, records, save)
	s.metrics.countShared(len(records), err)
	if err != nil {
		s.options.Log.Write(&recordsNotShared{keeper: keeper, records: len(records), err: err})
		// Its process may have ended; the next one needs all records.
		s.markSent(keeper.Name, 0)
		return false
	}
	s.markSent(keeper.Name, end)
	return true
}

// unsent returns the records that the keeper does not have, and the position after them.
func (s *spreader) unsent(keeper string) ([]Record, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock()
	var live []Record
	for _, r := range s.log.since(s.sent[keeper]) {
		if now < r.Until {
			live = append(live, r)
		}
	}
	return live, s.log.end()
}

func (s *spreader) markSent(keeper string, end uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[keeper] = end
}

// forgetOthers drops the positions of nodes that are no keepers now. One that becomes a keeper again
// gets all records.
func (s *spreader) forgetOthers(keepers []Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(map[string]uint64, len(keepers)+1)
	for _, name := range append([]string{selfName}, namesOf(keepers)...) {
		if end, known := s.sent[name]; known {
			kept[name] = end
		}
	}
	s.sent = kept
}

func namesOf(nodes []Node) []string {
	names := make([]string, 0, len(nodes))
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	return names
}
