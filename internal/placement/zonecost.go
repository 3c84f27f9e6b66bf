package placement

import (
	"time"

	"galenatrestle/internal/zonetraffic"
)

// zoneCostOf returns the cost of the replica's zone. A request whose shared parts were read in another
// zone is not held back: to stay would mean to read them again. The lock is held.
func (u *upstream) zoneCostOf(now time.Time, r *Request, s *replicaState, p *prefixLocation) float64 {
	v := u.zones
	switch {
	case v == nil && s.replica.AvailabilityZone == u.zone:
		return 0
	case v == nil:
		return u.zoneCost
	case v.cachedAway(now, r, s, p):
		return v.leave[s.zoneIndex]
	default:
		return v.leave[s.zoneIndex] + v.hold[s.zoneIndex]
	}
}

// cachedAway reports whether the replica is in another zone and has more of the shared parts cached than
// any in the home zone. Of replicas that have as much, the home zone's is the first in the location.
func (v *zoneView) cachedAway(now time.Time, r *Request, s *replicaState, p *prefixLocation) bool {
	if v == nil || s.zoneIndex == 0 || len(r.Shared) == 0 {
		return false
	}
	if r.CanCopyCache {
		return p.hasMostPrefilled(s)
	}
	return s.cache.cachedTokens(now, r.Shared) > v.homeTokens
}

// forbidsCopy reports whether cached parts may not be copied between the zones of the replicas.
func (v *zoneView) forbidsCopy(from, to *replicaState) bool {
	return v != nil && len(v.Policy.Forbidden) > 0 && from != nil && from.zoneIndex != to.zoneIndex && v.Policy.Forbids(from.replica.AvailabilityZone, to.replica.AvailabilityZone)
}

// copyMS returns the price of copying tokens between the zones of the replicas.
func (v *zoneView) copyMS(from, to *replicaState, tokens int) float64 {
	if v == nil || v.Policy.CopyBytesPerToken == 0 || from == nil || from.zoneIndex == to.zoneIndex {
		return 0
	}
	return v.Policy.BytesMS(v.Policy.CopyBytesPerToken * float64(tokens))
}

// count counts an attempt at another zone. The lock is held.
func (v *zoneView) count(r *Request, s *replicaState, cachedThere bool) {
	if v == nil || s.zoneIndex == 0 {
		return
	}
	reason := zonetraffic.LessLoad
	switch {
	case len(r.Avoid) > 0:
		reason = zonetraffic.TriedBefore
	case v.homeUsable == 0:
		reason = zonetraffic.NoneAtHome
	case cachedThere:
		reason = zonetraffic.CachedThere
	}
	v.Metrics.CountRequest(v.home, s.replica.AvailabilityZone, reason, r.Bytes)
}

// answered learns the length of a complete answer and counts it if it came from another zone. The lock
// is held.
func (v *zoneView) answered(a *Attempt, complete bool) {
	if v == nil || a.answerBytes == 0 {
		return
	}
	if complete {
		average, known := v.avgAnswerBytes[a.class]
		if !known {
			average = float64(a.answerBytes)
		}
		v.avgAnswerBytes[a.class] = average + bytesWeight*(float64(a.answerBytes)-average)
	}
	if zone := a.Replica.AvailabilityZone; zone != v.home {
		v.Metrics.CountAnswer(zone, v.home, a.answerBytes)
	}
}
