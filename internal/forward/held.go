package forward

import (
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
)

// recordHeld counts the replicas that the call was kept from because they hold enough.
func (e *exchange) recordHeld(c *placement.Choice) {
	if c.Held > 0 {
		e.forwarder.metrics.heldReplicas.WithLabelValues(e.call.Upstream).Add(float64(c.Held))
	}
}

// addServiceFields adds the inputs of the choice of a plain service's replica.
func addServiceFields(fields eventlog.Fields, c *placement.Choice) {
	if c.PrefillSpeed > 0 || c.OwnPrefill == 0 {
		return
	}
	fields["service_ms"], fields["held"] = c.OwnPrefill.Milliseconds(), c.Held
	fields["loads_age_ms"] = c.LoadsAge.Milliseconds()
}
