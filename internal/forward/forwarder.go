package forward

import (
	"context"
	"net/http"
	"time"

	"galenatrestle/internal/overload"
)

// Forwarder takes calls to their end. It is safe for concurrent use.
type Forwarder struct {
	options Options
	metrics *metrics
	gates   overload.Gates
}

// New returns a forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{options: options, metrics: newMetrics(options.Registry)}
}

// Serve answers the call, and says how it ended. ctx ends when the caller has
// left. After EndedBroken the caller's connection must be aborted, so that the
// answer does not look complete.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, c *Call) Ending {
	limited, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	e := &exchange{
		forwarder: f,
		call:      c,
		caller:    ctx,
		ctx:       limited,
		outlet:    newOutlet(w, f.options.Codec, c),
		request:   c.placementRequest(),
		lastEvent: c.LastEventID,

		fingerprint: c.fingerprint(),
	}
	defer e.outlet.close()
	ending := e.run()
	f.metrics.ended(c, ending, e.firstByte, time.Now())
	f.options.Log.Write(&answerEnded{exchange: e, ending: ending, took: time.Since(c.Arrived)})
	return ending
}
