package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

// shards is the number of locks; a power of two.
const shards = 64

// stepQuota names the step in refusals.
const stepQuota = "quota"

// Limiter holds the quotas of all workspaces at one node.
type Limiter struct {
	shards [shards]shard
}

type shard struct {
	mu     sync.Mutex
	usages map[string]*usage
}

// NewLimiter returns a limiter without workspaces: nothing is bounded.
func NewLimiter() *Limiter {
	l := &Limiter{}
	for i := range l.shards {
		l.shards[i].usages = make(map[string]*usage)
	}
	return l
}

func (l *Limiter) shard(workspace string) *shard {
	return &l.shards[xxhash.Sum64String(workspace)%shards]
}

// SetQuotas puts the workspaces' quotas in force and forgets all others. A
// workspace that was not known before starts with a full bucket and the given
// share of its quota.
func (l *Limiter) SetQuotas(now time.Time, quotas map[string]config.Quota, share float64) {
	for i := range l.shards {
		l.shards[i].forget(quotas)
	}
	for workspace, quota := range quotas {
		l.shard(workspace).setQuota(now, workspace, quota, share)
	}
}

func (s *shard) forget(quotas map[string]config.Quota) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for workspace := range s.usages {
		if _, ok := quotas[workspace]; !ok {
			delete(s.usages, workspace)
		}
	}
}

func (s *shard) setQuota(now time.Time, workspace string, quota config.Quota, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.usages[workspace]
	if !ok {
		u = &usage{share: share, demand: demand{at: now}}
		s.usages[workspace] = u
	}
	if ok && u.quota == quota {
		return
	}
	u.quota = quota
	u.apply(now)
}

// SetShare sets this node's share, from 0 to 1, of the workspace's quota.
func (l *Limiter) SetShare(now time.Time, workspace string, share float64) {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, ok := s.usages[workspace]; ok {
		u.setShare(now, share)
	}
}

// Take takes one request with its estimated tokens, prompt and answer, from the
// workspace's quota, or refuses it with the time until it would fit.
func (l *Limiter) Take(now time.Time, workspace string, tokens float64) *refusal.Error {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.usages[workspace]
	if !ok {
		return nil
	}
	return u.takeOrRefuse(now, workspace, tokens)
}

// Correct puts the tokens that were used in place of those estimated, at the
// end of a request. Used more than estimated goes into debt.
func (l *Limiter) Correct(now time.Time, workspace string, estimated, used float64) {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, ok := s.usages[workspace]; ok {
		u.tokens.refill(now)
		u.tokens.take(used - estimated)
		u.demand.correct(u, used-estimated)
	}
}
