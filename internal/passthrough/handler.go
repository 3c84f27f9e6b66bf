package passthrough

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/forward"
)

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	options  Options
	refusals *prometheus.CounterVec
	// inFlight counts the requests being served.
	inFlight atomic.Int64
	// lastAt is when the last request came, in nanoseconds since 1970.
	lastAt   atomic.Int64
	stopping atomic.Bool
	// lastCall is set once new long answers are not begun any more.
	lastCall atomic.Bool
}

// New returns a handler.
func New(options Options) *Handler {
	h := &Handler{
		options: options,
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_refused_total", Help: "Requests refused before any attempt, by reason.",
		}, []string{"reason"}),
	}
	options.Registry.MustRegister(h.refusals)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.lastAt.Store(arrived.UnixNano())
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	call, refusal := h.check(w, r, arrived)
	if refusal == nil && call.Route.Streaming && h.lastCall.Load() {
		refusal = &refuseStopping
	}
	if refusal != nil {
		h.refuse(w, r, refusal)
		return
	}
	ending := h.options.Forwarder.Serve(r.Context(), w, call)
	if ending == forward.EndedBroken || ending == forward.EndedCallerGone {
		// Ends the connection, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, refusal *refused) {
	h.refusals.WithLabelValues(string(refusal.reason)).Inc()
	snapshot := h.options.Routes.Get()
	h.options.Log.Write(&requestRefused{
		id: h.options.Codec.DecodeCaller(r.Header).ID, host: r.Host, target: requestTarget(r), refusal: refusal,
		version: snapshot.Version(), age: snapshot.Age(h.options.Clock()),
	})
	refusal.write(w)
}

// InFlight is the number of requests being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// IdleTime is how long ago the last request came.
func (h *Handler) IdleTime(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, h.lastAt.Load()))
}

// DisableKeepAlives announces on each answer that its connection ends with it.
func (h *Handler) DisableKeepAlives() { h.stopping.Store(true) }

// RefuseStreaming refuses from now on the requests whose answers might not end before
// the process does.
func (h *Handler) RefuseStreaming() { h.lastCall.Store(true) }
