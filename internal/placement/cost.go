package placement

import (
	"slices"
	"time"
)

// The cost of a replica is in milliseconds of latency.
const (
	// runningCost is the cost of each request running at the replica.
	runningCost = 1.5
	// recomputeCost is the cost of each shared token that must be prefilled again although another
	// replica has it cached, in addition to the time it takes: the operator pays for the work, about
	// as much as for a response that is late by this time.
	recomputeCost = 0.2
	// copyCost is the cost of each shared token copied from another replica: the copy uses network
	// and memory, which costs the operator much less than prefilling again. With a lower value,
	// sessions scatter over the fleet, because all nodes see the same idle replicas: with 22 nodes and
	// 10 replicas, 0.1 served 0.914 of a day's value and 0.3 served 0.922.
	copyCost = 0.3
	// backlogDoublingMS is the median prefill backlog, in milliseconds, that adds recomputeCost
	// once more. When all replicas have prompts waiting, repeated prefill delays every waiting
	// request, so a session should stay at the replica that has its prompt cached. On an overloaded
	// fleet of 60 replicas this took the shared tokens prefilled again from 19.7 to 4.7 million and
	// the streams in time from 5,836 to 9,724.
	backlogDoublingMS = 20.0
	// memoryPressureThreshold is the memory fraction above which the excess fraction times
	// memoryPressureCost is added.
	memoryPressureThreshold = 0.6
	memoryPressureCost      = 6000.0
	// failureCost is the cost of a failure score of 1: more than usual differences in load, so
	// that a failing replica is used last.
	failureCost = 250.0
	// peerFailureWeight discounts failures reported by other nodes, whose network path to the
	// replica may be at fault.
	peerFailureWeight = 0.4
	// defaultZoneCost is the cost of a replica in another availability zone: about one round trip, and
	// the traffic between zones.
	defaultZoneCost = 3.0
	// failedZoneCost is the cost of a zone in which the request has already failed: the network
	// path to it may be at fault.
	failedZoneCost = 60.0
	// primaryCachedShare is the fraction of the shared prompt expected in the cache of its primary
	// replica when this node has not sent it there itself.
	primaryCachedShare = 0.9
	// unresponsiveAfter is the time without data from which a replica counts as unresponsive:
	// longer than a typical first token behind a long prompt.
	unresponsiveAfter = 350 * time.Millisecond
	// unresponsiveCostPerMS is the cost of each millisecond beyond unresponsiveAfter.
	unresponsiveCostPerMS = 2.0
	// avoidCost makes a replica that already failed this request the last choice.
	avoidCost = 1e6
)

// cost returns the expected cost of the request at the replica. recompute is the cost of each
// shared token that must be prefilled again.
func (u *upstream) cost(now time.Time, r *Request, s *replicaState, p *prefixLocation, recompute float64) float64 {
	cost := float64(s.running+s.peersRunning) * runningCost
	switch {
	case r.PromptTokens > 0:
		cost += u.promptCost(now, r, s, p, recompute)
	case u.service != nil:
		cost += u.serviceCost(now, s)
	default:
		cost += u.slotQueueMS(s)
	}
	return cost + healthCost(now, s) + u.zoneAndRetryCost(now, r, s, p) + u.speedCost(r, s)
}

// promptCost returns the cost of prefilling the prompt, including its effect on the requests
// that run there. It counts the whole backlog: less urgent prompts are prefilled later but
// still slow down the answer.
func (u *upstream) promptCost(now time.Time, r *Request, s *replicaState, p *prefixLocation, recompute float64) float64 {
	cached := p.expectedCachedTokens(now, r, s)
	copied := p.copyableTokens(s, cached)
	uncached := r.PromptTokens - cached - copied
	cost := copyCost*float64(copied) + u.zones.copyMS(p.mostPrefilledAt(s.replica.Version).state, s, copied)
	cost += u.prefillMS(s, s.pendingPrefill()+uncached) + u.slotWaitMS(s, r.Rank)
	cost += recompute * float64(r.sharedTokens()-cached-copied)
	// An engine that runs out of memory preempts requests and prefills them again.
	cost += max(u.memoryFraction(r, s)-memoryPressureThreshold, 0) * memoryPressureCost
	if u.byObjective(r) {
		return cost + u.missCost(r, s, uncached) + u.secondHomeCost(s, p, cached)
	}
	return cost + u.stallingCost(r, s, uncached)
}

// healthCost returns the cost of the replica's recent failures and unresponsiveness.
func healthCost(now time.Time, s *replicaState) float64 {
	cost := failureCost * (s.failureScoreAt(now) + peerFailureWeight*s.peersFailureScore)
	if unresponsive := s.unresponsiveFor(now); unresponsive > unresponsiveAfter {
		cost += unresponsiveCostPerMS * float64((unresponsive - unresponsiveAfter).Milliseconds())
	}
	return cost
}

// zoneAndRetryCost returns the cost of the replica's zone and of earlier failures of this
// request at the replica or in its zone.
func (u *upstream) zoneAndRetryCost(now time.Time, r *Request, s *replicaState, p *prefixLocation) float64 {
	cost := u.zoneCostOf(now, r, s, p)
	if slices.Contains(r.FailedZones, s.replica.AvailabilityZone) {
		cost += failedZoneCost
	}
	if slices.Contains(r.Avoid, s.replica.ID) {
		cost += avoidCost
	}
	return cost
}

// memoryFraction returns the fraction of the replica's memory taken by the running requests
// and this one, with cached parts of running requests counted once; zero if the memory size is
// not known.
func (u *upstream) memoryFraction(r *Request, s *replicaState) float64 {
	if r.MemoryTokens == 0 {
		return 0
	}
	return float64(s.tokensInMemory+s.peersTokensInMemory+r.tokens()) / float64(r.MemoryTokens)
}

// slotQueueMS returns the expected wait for a slot of a plain service.
func (u *upstream) slotQueueMS(s *replicaState) float64 {
	slots := max(s.replica.Slots, 1)
	return u.serviceMS * float64(s.running+s.peersRunning) / float64(slots) / s.speed.ServiceFactor()
}
