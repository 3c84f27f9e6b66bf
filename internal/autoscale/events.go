package autoscale

import "galenatrestle/internal/eventlog"

// orderSent is the log event for an order, with the inputs to the decision.
type orderSent struct {
	order    Order
	wanted   float64
	observed *Observation
	fence    int64
	err      error
}

// Name implements eventlog.Event.
func (*orderSent) Name() string { return "replicas_ordered" }

// Level implements eventlog.Event.
func (*orderSent) Level() eventlog.Level { return eventlog.Notable }

// Fields implements eventlog.Event.
func (e *orderSent) Fields() eventlog.Fields {
	o := e.observed
	fields := eventlog.Fields{
		"upstream": e.order.Upstream, "zone": e.order.AvailabilityZone, "kind": e.order.Kind, "replicas": e.order.Replicas,
		"fence": e.fence, "capacity": int(e.wanted), "busy": o.Busy,
		"ready_on_demand": o.ready(OnDemand), "ready_reclaimable": o.ready(Reclaimable), "age_ms": o.Age.Milliseconds(),
	}
	if e.err != nil {
		fields["error"] = e.err.Error()
	}
	return fields
}
