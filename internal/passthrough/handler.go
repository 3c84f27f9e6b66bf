package passthrough

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/forward"
	"galenatrestle/internal/shutdown"
)

// Handler checks callers' requests and forwards them. It is safe for concurrent use.
type Handler struct {
	options  Options
	refusals *prometheus.CounterVec
	inFlight atomic.Int64
	// lastRequestAt is the Unix time in nanoseconds of the last request that was not refused because
	// the node stops.
	lastRequestAt atomic.Int64
	// answerTimes are those of calls that have no stream.
	answerTimes *shutdown.AnswerTimes
	stop        stopState
}

// New returns a handler and registers its metrics.
func New(options Options) *Handler {
	h := &Handler{
		options:     options,
		answerTimes: shutdown.NewAnswerTimes(),
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
	if h.stop.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	call, refusal := h.check(w, r, arrived)
	if refusal == nil {
		refusal = h.checkStop(call, time.Now())
	}
	if refusal == nil {
		h.lastRequestAt.Store(arrived.UnixNano())
		refusal = h.resolveOrigin(r.Context(), call)
	}
	if refusal != nil {
		h.refuse(w, r, refusal)
		return
	}
	outcome := h.options.Forwarder.Serve(r.Context(), w, call)
	h.observeAnswer(call, outcome, time.Now())
	if outcome == forward.EndedBroken || outcome == forward.EndedCallerGone {
		// Aborts the connection, so that the response does not appear complete.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, refusal *rejection) {
	h.refusals.WithLabelValues(string(refusal.reason)).Inc()
	snapshot := h.options.Routes.Get()
	h.options.Log.Write(&requestRefused{
		id: h.options.Codec.DecodeCaller(r.Header).ID, host: r.Host, target: requestTarget(r), refusal: refusal,
		version: snapshot.Version(), age: snapshot.Age(h.options.Clock()),
	})
	refusal.write(w)
}

// InFlight returns the number of requests being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// IdleTime returns the time since the last request that was not refused because the node stops.
func (h *Handler) IdleTime(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, h.lastRequestAt.Load()))
}
