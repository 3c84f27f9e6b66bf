package placement

import (
	"slices"
	"time"
)

// The cost of a replica is in milliseconds of the caller's time.
const (
	// runningCost is what each running request adds to an answer's time.
	runningCost = 1.5
	// rereadCost is what each shared token adds that must be read again though
	// another replica has it, beyond the time it takes: operators pay for it,
	// about as much as for an answer late by this time.
	rereadCost = 0.2
	// copyCost is what each shared token adds that the replica copies from another
	// one: the copy takes the network and its place in memory, and operators pay for
	// it, but much less than for reading it again. Cheaper copies scatter sessions over
	// the fleet, as all nodes see the same idle replica: on 10 replicas before 22 nodes a
	// price of 0.1 had 0.914 of a day's value served, 0.3 had 0.922.
	copyCost = 0.3
	// backlogDoubles is the backlog, in milliseconds of reading at each replica,
	// that adds rereadCost once more. Where all replicas have prompts waiting,
	// whatever is read again holds up all that wait: a session that leaves its
	// replica for a shorter queue then costs the fleet two more requests. On an
	// overloaded fleet of 60 replicas the price took the shared tokens read again
	// from 19.7 to 4.7 million and the streams in time from 5,836 to 9,724.
	backlogDoubles = 20.0
	// crowdedFrom is the part of a replica's memory from which it counts as
	// filling up, crowdedCost the cost of the whole of it.
	crowdedFrom = 0.6
	crowdedCost = 6000.0
	// failureCost is what one failure adds: more than any usual difference in
	// load, so that a failing replica is used last.
	failureCost = 250.0
	// peerFailureWeight is the part that a failure seen by another node counts:
	// its path to the replica may be at fault.
	peerFailureWeight = 0.4
	// zoneCost is what another availability zone costs: about two ways, and
	// the bytes between zones.
	zoneCost = 3.0
	// failedZoneCost keeps a further attempt out of the zones in which the
	// request has failed: their path may be at fault.
	failedZoneCost = 60.0
	// homeShare is the part of the shared prompt that is expected in the cache
	// of the replica to which the hash of its parts leads, where this node has
	// not seen it itself.
	homeShare = 0.9
	// silenceFrom is the silence that counts: longer than a usual first token
	// behind a long prompt.
	silenceFrom = 350 * time.Millisecond
	// silenceWeight is the cost of each millisecond beyond it.
	silenceWeight = 2.0
	// avoidCost makes a replica that failed this request the last choice.
	avoidCost = 1e6
)

// cost is the expected cost of the request at the replica. reread is what each
// shared token costs that must be read again.
func (u *upstream) cost(now time.Time, r *Request, s *state, p *prefix, reread float64) float64 {
	cost := float64(s.running+s.peersRunning) * runningCost
	if r.PromptTokens > 0 {
		cost += u.promptCost(now, r, s, p, reread)
	} else {
		cost += u.queueing(s)
	}
	return cost + troubleCost(now, s) + u.pathCost(r, s)
}

// promptCost is that of getting the prompt read, and of what it does to the requests
// that run there. Whatever waits there counts, also less urgent prompts that are read
// later: they hold up the answer.
func (u *upstream) promptCost(now time.Time, r *Request, s *state, p *prefix, reread float64) float64 {
	cached := p.cachedAt(now, r, s)
	copied := p.copied(s, cached)
	uncached := r.PromptTokens - cached - copied
	cost := copyCost * float64(copied)
	cost += u.reading.PrefillMS(s.toRead()+uncached) + u.placeWait(s, r.Rank)
	cost += reread * float64(r.sharedTokens()-cached-copied)
	// An engine that runs out of memory puts requests back and reads them again.
	cost += max(u.used(r, s)-crowdedFrom, 0) * crowdedCost
	return cost + u.stalling(r, s, uncached)
}

// troubleCost is what failures and silence of the replica count for.
func troubleCost(now time.Time, s *state) float64 {
	cost := failureCost * (s.failuresAt(now) + peerFailureWeight*s.peersFailures)
	if silence := s.silence(now); silence > silenceFrom {
		cost += silenceWeight * float64((silence - silenceFrom).Milliseconds())
	}
	return cost
}

// pathCost is what the replica's place counts for, and that the request has failed
// there or near it.
func (u *upstream) pathCost(r *Request, s *state) float64 {
	cost := 0.0
	if s.replica.AvailabilityZone != u.zone {
		cost += zoneCost
	}
	if slices.Contains(r.FailedZones, s.replica.AvailabilityZone) {
		cost += failedZoneCost
	}
	if slices.Contains(r.Avoid, s.replica.ID) {
		cost += avoidCost
	}
	return cost
}

// used is the part of the replica's memory that the running requests and this one
// take, shared parts counted for the first that brought them; zero where the memory is
// not known.
func (u *upstream) used(r *Request, s *state) float64 {
	if r.MemoryTokens == 0 {
		return 0
	}
	return float64(s.tokens+s.peersTokens+r.tokens()) / float64(r.MemoryTokens)
}

// queueing is the wait for a slot of a plain service.
func (u *upstream) queueing(s *state) float64 {
	slots := max(s.replica.Slots, 1)
	return u.workMS * float64(s.running+s.peersRunning) / float64(slots)
}
