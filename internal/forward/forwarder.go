package forward

import (
	"context"
	"net/http"
	"time"

	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/overload"
)

// Forwarder forwards calls to replicas. It is safe for concurrent use.
type Forwarder struct {
	options Options
	metrics *metrics
	gates   overload.Gates
	// ended ends when the node answers the calls in progress without their replicas.
	ended    context.Context
	endCalls context.CancelFunc
}

func New(options Options) *Forwarder {
	f := &Forwarder{options: options, metrics: newMetrics(options.Registry)}
	f.ended, f.endCalls = context.WithCancel(context.Background())
	return f
}

// EndCalls ends all calls in progress, since the process is about to end: those that certainly did not run are
// refused, others get the response of a deadline that has passed, and started responses are broken off.
func (f *Forwarder) EndCalls() { f.endCalls() }

// Serve forwards the call, writes the response and returns how the call ended.
// ctx must end when the caller disconnects. After EndedBroken the caller must
// abort the client connection, so that the response does not look complete.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, c *Call) Ending {
	callCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	defer context.AfterFunc(f.ended, cancel)()
	if f.ended.Err() != nil {
		// The function runs in a goroutine of its own, maybe after the call was sent.
		cancel()
	}
	e := &exchange{
		forwarder:        f,
		call:             c,
		callerCtx:        ctx,
		ctx:              callCtx,
		callerResponse:   newCallerResponse(w, f.options.Codec, c),
		placementRequest: c.newPlacementRequest(),
		lastEventID:      c.LastEventID,

		fingerprint: c.fingerprint(), sharedParts: c.sharedParts(),
	}
	e.factors = crashcause.FactorsOf(c.Upstream, e.fingerprint, e.sharedParts)
	defer e.callerResponse.close()
	ending := e.runOnce()
	f.metrics.recordCallEnd(c, ending, e.firstByteAt, time.Now())
	f.options.Log.Write(&callEnded{exchange: e, ending: ending, took: time.Since(c.Arrived)})
	return ending
}
