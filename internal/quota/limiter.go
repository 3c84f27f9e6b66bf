package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

// shards is the number of independently locked shards.
const shards = 64

// stepQuota is the step reported in refusals.
const stepQuota = "quota"

// Limiter enforces the quotas of all workspaces at one node.
type Limiter struct {
	shards [shards]shard
}

type shard struct {
	mu     sync.Mutex
	usages map[string]*usage
}

// NewLimiter returns a limiter without quotas, which admits every request.
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

// SetQuotas replaces the quotas of all workspaces; a workspace not in quotas is
// no longer limited. A new workspace starts with a full bucket and the given
// share of its quota.
func (l *Limiter) SetQuotas(now time.Time, quotas map[string]config.Quota, share float64) {
	for i := range l.shards {
		l.shards[i].removeUnlisted(quotas)
	}
	for workspace, quota := range quotas {
		l.shard(workspace).setQuota(now, workspace, quota, share)
	}
}

func (s *shard) removeUnlisted(quotas map[string]config.Quota) {
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
		u = &usage{share: share, demand: demand{updatedAt: now}}
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

// Take charges one request with its estimated tokens, prompt and answer, to the
// workspace's quota, or returns a refusal with the time after which to retry.
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

// Correct replaces a request's estimated tokens by the tokens used, at the end
// of the request. The bucket level may become negative.
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
