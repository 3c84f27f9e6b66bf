package configsync

import (
	"context"
	"fmt"
	"time"

	"galenatrestle/internal/ctxtime"
)

const (
	// watchersPerRegion is the number of duties; one node may own several.
	watchersPerRegion = 3
	// watchWait is how long one watch call waits at the platform.
	watchWait = 30 * time.Second
	// dutyCheck is how often a node looks whether it owns a watch.
	dutyCheck = time.Second
	// watchRetry is the wait after a failed watch.
	watchRetry = time.Second
	// pollsPerSecond is the budget of all nodes of a region for reading the
	// newest record besides the watches, so that a region whose watchers all
	// lost the platform still learns from it.
	pollsPerSecond = 2
	// minPoll and maxPoll bound one node's period.
	minPoll = 2 * time.Second
	maxPoll = time.Minute
	// pollTime bounds one read.
	pollTime = 5 * time.Second
)

// watchLoop watches the newest record while this node owns one of the watches.
func (s *Syncer) watchLoop(ctx context.Context) {
	after := int64(0)
	for ctx.Err() == nil {
		if !s.ownsWatch() {
			s.metrics.watching.Set(0)
			_ = ctxtime.Sleep(ctx, s.jitter(dutyCheck))
			continue
		}
		s.metrics.watching.Set(1)
		after = s.watchOnce(ctx, after)
	}
}

// ownsWatch tells whether one of the region's watches is this node's. Two
// views that differ cost one watch more, nothing else.
func (s *Syncer) ownsWatch() bool {
	self := s.view.Self().Name
	for k := range watchersPerRegion {
		if s.view.Owner(fmt.Sprintf("config-watch/%d", k)).Name == self {
			return true
		}
	}
	return false
}

func (s *Syncer) watchOnce(ctx context.Context, after int64) int64 {
	record, next, err := s.repository.WaitHead(ctx, after, watchWait)
	if err != nil {
		s.countFailure(err, "watch")
		_ = ctxtime.Sleep(ctx, s.jitter(watchRetry))
		return after
	}
	if record != nil {
		s.learn(ctx, *record)
	}
	return next
}

// pollLoop reads the newest record now and then.
func (s *Syncer) pollLoop(ctx context.Context) {
	for ctxtime.Sleep(ctx, s.jitter(s.pollPeriod())) == nil {
		pollCtx, cancel := context.WithTimeout(ctx, pollTime)
		s.poll(pollCtx)
		cancel()
	}
}

func (s *Syncer) pollPeriod() time.Duration {
	period := time.Duration(len(s.view.Members())) * time.Second / pollsPerSecond
	return min(max(period, minPoll), maxPoll)
}

func (s *Syncer) poll(ctx context.Context) {
	record, _, err := s.repository.Head(ctx)
	if err != nil {
		s.countFailure(err, "poll")
		return
	}
	s.learn(ctx, record)
}

// learn takes a record of the platform and tells the others if it was news.
func (s *Syncer) learn(ctx context.Context, record Record) {
	moved, err := s.takeRecord(ctx, record, sourcePlatform)
	if err != nil || !moved {
		return
	}
	s.notifyAll(ctx)
}
