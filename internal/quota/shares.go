package quota

import "time"

// SetShares sets this node's shares, from 0 to 1, of the workspaces' quotas.
// Workspaces not in shares get the even share.
func (l *Limiter) SetShares(now time.Time, even float64, shares map[string]float64) {
	for i := range l.shards {
		l.shards[i].setShares(now, even, shares)
	}
}

func (s *shard) setShares(now time.Time, even float64, shares map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for workspace, u := range s.usages {
		share, ok := shares[workspace]
		if !ok {
			share = even
		}
		u.setShare(now, share)
	}
}
