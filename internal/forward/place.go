package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/ratelimit"
)

// maxPermitWait limits the time spent on acquiring permits for one attempt. It
// allows several requests to the nodes that issue permits.
const maxPermitWait = 100 * time.Millisecond

var errNoReplica = errors.New("no replica accepts new requests")

var errPaused = errors.New("all replicas are paused")

var errFull = errors.New("brittle replicas have no free slot")

var errRateLimited = errors.New("all replicas have reached their rate limit")

// maxSlotAsks is the number of brittle replicas that are asked for a free slot before the call waits for
// one.
const maxSlotAsks = 3

// slotWaiting is whether a call waits until a brittle replica has a free slot.
type slotWaiting bool

const (
	mayWait slotWaiting = true
	noWait  slotWaiting = false
)

// chooseReplica assigns a replica to the call and acquires a permit if the replica
// is limited. Without a permit it tries another replica. If no brittle replica has a free slot, it
// waits for one if it may. It ends with the call's context: a permit that is asked for then is never given, nor
// does its issuer say when to ask again.
func (e *exchange) chooseReplica(waits slotWaiting) (*attempt, *Failure) {
	permitDeadline := time.Now().Add(maxPermitWait)
	r := &e.placementRequest
	r.ExcludeRateLimited, r.AwaitsSlot = false, false
	for slotAsks := 0; ; {
		if e.ctx.Err() != nil {
			return nil, &Failure{Result: placement.Cancelled, NotRun: true, Step: stepChoose, Peer: e.call.Upstream, Cause: context.Cause(e.ctx)}
		}
		placementAttempt := e.forwarder.options.Placer.Choose(time.Now(), e.call.Upstream, r)
		if placementAttempt == nil {
			if r.AwaitsSlot || r.ExcludeRateLimited || waits == noWait {
				return nil, e.noReplicaFailure()
			}
			r.AwaitsSlot = true
			continue
		}
		if e.yieldIfLate(placementAttempt) {
			continue
		}
		if failure := e.refuseIfOverloaded(placementAttempt); failure != nil {
			return nil, failure
		}
		placementAttempt.Sent(time.Now())
		a := e.newAttempt(placementAttempt)
		if !placementAttempt.NeedsPermit || e.acquirePermit(a, permitDeadline) {
			return a, nil
		}
		placementAttempt.End(time.Now(), placement.Cancelled)
		if a.knownBrittle {
			slotAsks++
		}
		askedEnough := slotAsks >= maxSlotAsks
		r.ExcludeRateLimited = a.knownBrittle && (r.AwaitsSlot || askedEnough && waits == noWait) || !a.knownBrittle && time.Now().After(permitDeadline)
		r.AwaitsSlot = askedEnough && waits == mayWait
	}
}

// slotWait returns how long the call waits for a slot of a brittle replica.
func (e *exchange) slotWait() time.Duration {
	wait := maxPermitWait
	if objective := e.call.Route.Objective; objective > 0 {
		wait = objective / slotWaitDivisor
	}
	return min(wait, time.Until(e.call.Deadline)/slotWaitDivisor)
}

// slotWaitDivisor leaves the rest of the objective, or of the time left, to the replica.
const slotWaitDivisor = 2

func (e *exchange) acquirePermit(a *attempt, deadline time.Time) bool {
	urgency := ratelimit.Urgency{Rank: e.placementRequest.Rank}
	if e.placementRequest.AwaitsSlot {
		urgency.Wait = e.slotWait()
		deadline = time.Now().Add(urgency.Wait + maxPermitWait)
	}
	ctx, cancel := context.WithDeadline(e.ctx, deadline)
	defer cancel()
	result := e.forwarder.options.Permits.Acquire(ctx, time.Now(), &a.placementAttempt.Replica, urgency)
	e.forwarder.options.Log.Write(&permitRequested{exchange: e, replica: a.placementAttempt.Replica.ID, waits: urgency.Wait, result: result})
	if !result.Granted() {
		return false
	}
	a.slot = result.Slot
	a.placementAttempt.PermitGranted(time.Now())
	return true
}

const (
	// minFullRetryDelay and maxFullRetryDelay bound when callers come back for whom no brittle replica
	// had a slot. Many are refused in the same moment, and must not come back in the same moment.
	minFullRetryDelay = 400 * time.Millisecond
	maxFullRetryDelay = 1200 * time.Millisecond
)

// fullRetryDelay returns a delay that depends on the call's ID only.
func (e *exchange) fullRetryDelay() time.Duration {
	return minFullRetryDelay + time.Duration(xxhash.Sum64String(e.call.ID)%uint64(maxFullRetryDelay-minFullRetryDelay))
}

func (e *exchange) noReplicaFailure() *Failure {
	f := &Failure{Result: placement.Cancelled, NotRun: true, Step: stepChoose, Peer: e.call.Upstream, Cause: errNoReplica}
	now := time.Now()
	restricted := e.forwarder.options.Placer.Restricted(now, e.call.Upstream, &e.placementRequest)
	wait, left := restricted.NextAt.Sub(now), e.call.Deadline.Sub(now)
	switch {
	case restricted.RateLimited > 0:
		f.RetryAfter = overload.RetryDelay(wait, left)
		f.Cause = fmt.Errorf("%w: %d rate-limited replicas, no permit left; %d paused", errRateLimited, restricted.RateLimited, restricted.Paused)
	case restricted.Full > 0:
		f.RetryAfter = overload.RetryDelay(e.fullRetryDelay(), left)
		f.Cause = fmt.Errorf("%w: %d of them; %d paused", errFull, restricted.Full, restricted.Paused)
	case restricted.Paused+restricted.PresumedPaused > 0:
		f.RetryAfter = overload.BoundRetryDelay(wait, left)
		f.Cause = fmt.Errorf("%w: %d at their request, %d presumed as they do not respond", errPaused, restricted.Paused, restricted.PresumedPaused)
	case e.placementRequest.Version != nil:
		f.Cause = fmt.Errorf("%w: the stream began at software version %q", errNoReplica, *e.placementRequest.Version)
	}
	return f
}
