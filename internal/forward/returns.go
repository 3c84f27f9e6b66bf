package forward

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/returns"
	"galenatrestle/internal/route"
)

// Returns schedules the returns of refused callers and recognizes them. It is safe for concurrent use.
type Returns struct {
	controller *returns.Controller
	inProgress returns.InProgress
	told       *prometheus.CounterVec
	returned   *prometheus.CounterVec
	repeats    *prometheus.CounterVec
}

// NewReturns returns the part of a forwarder that schedules returns by the controller.
func NewReturns(controller *returns.Controller, registry prometheus.Registerer) *Returns {
	r := &Returns{
		controller: controller,
		told: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_returns_told_total", Help: "Refused callers that were told when to return, and whether capacity is expected then.",
		}, []string{"upstream", "promised"}),
		returned: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_returns_total", Help: "Calls of recognized callers that returned as told or early, by whether they were admitted.",
		}, []string{"upstream", "returned", "result"}),
		repeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_repeats_refused_total", Help: "Calls refused because the same call was in progress at this node.",
		}, []string{"upstream"}),
	}
	registry.MustRegister(r.told, r.returned, r.repeats, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "trestle_returns_known", Help: "Returns of refused callers, of all nodes, that this node knows.",
	}, func() float64 { return float64(controller.Table.Len()) }))
	return r
}

// returnState is what a call keeps of returns.
type returnState struct {
	arrival returns.Arrival
	// request is the input of the last admission decision. counted is set once the result was counted.
	request overload.Request
	counted bool
	told    returns.Told
	// loadsAge is the age of the loads from which the queue time was computed.
	loadsAge time.Duration
}

// errInProgress means that the same call is in progress at this node. The repeat was not sent to a replica.
var errInProgress = errors.New("the same call is in progress")

// runOnce runs the call, unless it must not run twice at a time and the same call is in progress.
func (e *exchange) runOnce() Ending {
	r := e.forwarder.options.Returns
	if r == nil {
		return e.run()
	}
	if e.mustNotRunTwice() {
		if !r.inProgress.Begin(e.fingerprint) {
			return e.refuseRepeat(r)
		}
		defer r.inProgress.End(e.fingerprint)
	}
	e.returning.arrival = r.controller.Table.Arrive(time.Now(), e.fingerprint)
	return e.run()
}

// mustNotRunTwice reports whether a repeat of the call takes a second place at the replicas. Calls without
// a body are not known to be of the same caller. A caller resumes a stream whose connection broke before this node
// has noticed that.
func (e *exchange) mustNotRunTwice() bool {
	c := e.call
	return len(c.Body) > 0 && !c.ResumesStream() && (c.Route.Repeat == route.AtMostOnce || c.Route.Streaming)
}

func (e *exchange) refuseRepeat(r *Returns) Ending {
	r.repeats.WithLabelValues(e.call.Upstream).Inc()
	e.lastFailure = &Failure{
		Result: placement.Cancelled, NotRun: true, Step: stepChoose, Peer: e.call.Upstream, Cause: errInProgress,
		RetryAfter: overload.RetryDelay(e.call.Route.Objective, time.Until(e.call.Deadline)),
	}
	e.callerResponse.writeNotRun(e.lastFailure.RetryAfter)
	return EndedRefused
}

// decideAdmission applies overload control. With a schedule of returns, a caller that returns as told goes before
// newcomers, and a refused one is told when to return.
func (e *exchange) decideAdmission(request overload.Request) overload.Decision {
	now, c, r := time.Now(), e.call, e.forwarder.options.Returns
	gate := e.forwarder.gates.Of(c.Upstream)
	if r == nil {
		return gate.Decide(now, request)
	}
	state := &e.returning
	request.Returned = state.arrival.Kind == returns.AsTold
	request.Reserved = r.controller.Reserved(now, c.Upstream, c.Rank)
	decision := gate.Decide(now, request)
	state.request = request
	if decision.Refused() {
		state.told = r.controller.Refuse(now, returns.Refusal{
			Upstream: c.Upstream, Rank: c.Rank, Fingerprint: e.fingerprint, Arrival: state.arrival,
			QueueTime: request.QueueTime, TimeLeft: request.TimeLeft,
		})
		decision.RetryAfter = state.told.RetryAfter
	}
	r.count(now, e, decision.Refused())
	return decision
}

// count counts the first decision on a call, which may ask for several replicas.
func (r *Returns) count(now time.Time, e *exchange, refused bool) {
	c, state := e.call, &e.returning
	if state.counted && !refused {
		return
	}
	state.counted = true
	result := "admitted"
	if refused {
		result = "refused"
		promised := "no"
		if state.told.Promised {
			promised = "yes"
		}
		r.told.WithLabelValues(c.Upstream, promised).Inc()
	} else {
		r.controller.Admitted(now, c.Upstream, c.Rank)
	}
	if kind := state.arrival.Kind; kind != returns.Newcomer {
		r.returned.WithLabelValues(c.Upstream, string(kind), result).Inc()
	}
}

// addFields adds what the call's caller was told, with the inputs of the decision.
func (s *returnState) addFields(fields eventlog.Fields) {
	if s.arrival.Kind != returns.Newcomer {
		fields["returned"] = s.arrival.Kind
	}
	if s.told.RetryAfter > 0 {
		fields["retry_after_ms"], fields["promised"] = s.told.RetryAfter.Milliseconds(), s.told.Promised
		fields["queue_ms"], fields["reserved_ms"] = s.request.QueueTime.Milliseconds(), s.request.Reserved.Milliseconds()
		fields["loads_age_ms"] = s.loadsAge.Milliseconds()
	}
}
