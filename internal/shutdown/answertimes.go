package shutdown

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// periods of periodLength are how long an answer is remembered.
	periods      = 4
	periodLength = 15 * time.Second
	shardCount   = 16
)

// AnswerTimes keeps how long the answers of each upstream took lately. It is safe for concurrent use.
type AnswerTimes struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

// shard has a part of the upstreams.
type shard struct {
	mu        sync.Mutex
	upstreams map[string]*longest
}

// longest has the longest answer of each of the last periods.
type longest struct {
	// period is the number of the newest one.
	period int64
	times  [periods]time.Duration
}

// NewAnswerTimes returns a table that knows no answers.
func NewAnswerTimes() *AnswerTimes {
	t := &AnswerTimes{seed: maphash.MakeSeed()}
	for i := range t.shards {
		t.shards[i].upstreams = make(map[string]*longest)
	}
	return t
}

// Observe records an answer of the upstream that took so long.
func (t *AnswerTimes) Observe(upstream string, took time.Duration, now time.Time) {
	s := t.shard(upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, known := s.upstreams[upstream]
	if !known {
		s.forget(now)
		l = &longest{period: periodOf(now)}
		s.upstreams[upstream] = l
	}
	l.advance(now)
	at := &l.times[l.period%periods]
	*at = max(*at, took)
}

// Longest returns the longest answer of the upstream lately. It reports false if there was none.
func (t *AnswerTimes) Longest(upstream string, now time.Time) (time.Duration, bool) {
	s := t.shard(upstream)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, known := s.upstreams[upstream]
	if !known {
		return 0, false
	}
	l.advance(now)
	longest := l.longest()
	return longest, longest > 0
}

func (t *AnswerTimes) shard(upstream string) *shard {
	return &t.shards[maphash.String(t.seed, upstream)%shardCount]
}

// forget removes the upstreams without a recent answer. The lock is held.
func (s *shard) forget(now time.Time) {
	for name, l := range s.upstreams {
		if l.advance(now); l.longest() == 0 {
			delete(s.upstreams, name)
		}
	}
}

func periodOf(now time.Time) int64 { return now.UnixNano() / int64(periodLength) }

// advance begins the period of now and forgets the oldest ones.
func (l *longest) advance(now time.Time) {
	current := periodOf(now)
	if current-l.period >= periods {
		l.times, l.period = [periods]time.Duration{}, current
	}
	for l.period < current {
		l.period++
		l.times[l.period%periods] = 0
	}
}

func (l *longest) longest() time.Duration {
	longest := l.times[0]
	for _, t := range l.times[1:] {
		longest = max(longest, t)
	}
	return longest
}
