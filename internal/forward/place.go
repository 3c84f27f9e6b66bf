package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
)

// maxPermitWait limits the time spent on acquiring permits for one attempt. It
// allows several requests to the nodes that issue permits.
const maxPermitWait = 100 * time.Millisecond

var errNoReplica = errors.New("no replica accepts new requests")

var errPaused = errors.New("all replicas are paused")

var errFull = errors.New("brittle replicas have no room")

var errRateLimited = errors.New("all replicas have reached their rate limit")

// chooseReplica assigns a replica to the call and acquires a permit if the replica
// is rate-limited. Without a permit it tries another replica.
func (e *exchange) chooseReplica() (*placement.Attempt, *Failure) {
	permitDeadline := time.Now().Add(maxPermitWait)
	e.placementRequest.ExcludeRateLimited = false
	for {
		placementAttempt := e.forwarder.options.Placer.Choose(time.Now(), e.call.Upstream, &e.placementRequest)
		if placementAttempt == nil {
			return nil, e.noReplicaFailure()
		}
		if failure := e.refuseIfOverloaded(placementAttempt); failure != nil {
			return nil, failure
		}
		if !placementAttempt.NeedsPermit || e.acquirePermit(placementAttempt, permitDeadline) {
			return placementAttempt, nil
		}
		placementAttempt.End(time.Now(), placement.Cancelled)
		e.placementRequest.ExcludeRateLimited = time.Now().After(permitDeadline)
	}
}

func (e *exchange) acquirePermit(placementAttempt *placement.Attempt, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(e.ctx, deadline)
	defer cancel()
	result := e.forwarder.options.Permits.Acquire(ctx, time.Now(), &placementAttempt.Replica)
	e.forwarder.options.Log.Write(&permitRequested{exchange: e, replica: placementAttempt.Replica.ID, result: result})
	if !result.Granted() {
		return false
	}
	placementAttempt.PermitGranted(time.Now())
	return true
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
		f.RetryAfter = overload.RetryDelay(wait, left)
		f.Cause = fmt.Errorf("%w: %d of them; %d paused", errFull, restricted.Full, restricted.Paused)
	case restricted.Paused+restricted.PresumedPaused > 0:
		f.RetryAfter = overload.BoundRetryDelay(wait, left)
		f.Cause = fmt.Errorf("%w: %d at their request, %d presumed as they do not respond", errPaused, restricted.Paused, restricted.PresumedPaused)
	case e.placementRequest.Version != nil:
		f.Cause = fmt.Errorf("%w: the stream began at software version %q", errNoReplica, *e.placementRequest.Version)
	}
	return f
}
