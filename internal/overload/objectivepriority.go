package overload

// ObjectivePriority lets calls that are expected to miss their objective yield to those of the same
// tier that can still meet it. Without it, in a burst of 1.3 times what replicas can prefill, every
// call waits its turn behind calls that are late already, and nearly all are late. A late call loses
// nothing more by waiting, as long as it is answered before its deadline.
//
// The zero value lets no call yield.
type ObjectivePriority struct {
	// OnTimeFraction is the part of the objective within which the first token must be expected. It is
	// below 1 because one in ten calls takes two and a half times as long as expected.
	OnTimeFraction float64
}

// Yields reports whether the request is expected to miss its objective.
func (p ObjectivePriority) Yields(r *Request) bool {
	if p.OnTimeFraction <= 0 || r.Objective <= 0 {
		return false
	}
	return float64(r.QueueTime+r.OwnPrefill) > p.OnTimeFraction*float64(r.Objective)
}
