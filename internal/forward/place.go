package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
)

// permitWait bounds the time in which a call asks for permits: some calls between nodes.
const permitWait = 100 * time.Millisecond

// errNoReplica says that no replica takes new requests.
var errNoReplica = errors.New("no replica takes new requests")

// errRateLimited says that all replicas name rates, which are used up.
var errRateLimited = errors.New("the request rates of all replicas are used up")

// choose binds the call to a replica. For one that names a rate it gets a permit; where there
// is none, another replica is chosen.
func (e *exchange) choose() (*placement.Attempt, *Failure) {
	permitBy := time.Now().Add(permitWait)
	e.request.ExcludeRateLimited = false
	for {
		place := e.forwarder.options.Placer.Choose(time.Now(), e.call.Upstream, &e.request)
		if place == nil {
			return nil, e.unplaced()
		}
		if failure := e.turnAway(place); failure != nil {
			return nil, failure
		}
		if !place.NeedsPermit || e.permitted(place, permitBy) {
			return place, nil
		}
		place.End(time.Now(), placement.Cancelled)
		e.request.ExcludeRateLimited = time.Now().After(permitBy)
	}
}

// permitted gets a permit for the attempt, if there is one.
func (e *exchange) permitted(place *placement.Attempt, by time.Time) bool {
	ctx, cancel := context.WithDeadline(e.ctx, by)
	defer cancel()
	asked := e.forwarder.options.Permits.Acquire(ctx, time.Now(), &place.Replica)
	e.forwarder.options.Log.Write(&permitAsked{exchange: e, replica: place.Replica.ID, asked: asked})
	if !asked.Given() {
		return false
	}
	place.PermitGranted(time.Now())
	return true
}

// unplaced is the failure of a call for which there is no replica.
func (e *exchange) unplaced() *Failure {
	f := &Failure{Result: placement.Cancelled, NotRun: true, Step: stepChoose, Peer: e.call.Upstream, Cause: errNoReplica}
	now := time.Now()
	if limited := e.forwarder.options.Placer.RateLimited(now, e.call.Upstream); limited.Replicas > 0 {
		f.RetryAfter = overload.ReturnAfter(limited.NextPermitAt.Sub(now), e.call.Deadline.Sub(now))
		f.Cause = fmt.Errorf("%w: %d of them, no permit left", errRateLimited, limited.Replicas)
	}
	return f
}
