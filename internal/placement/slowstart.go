package placement

// A replica that has shown nothing yet looks idle to all nodes at once, for as long as load
// reports take, and its speed is not known. Until it has answered some requests it counts as
// loaded as the mean of the others besides its own load, so that it gets its proportional part of
// the new work.
type slowStart struct {
	// running and pendingPrefill are the means of the replicas that are not new.
	running        float64
	pendingPrefill float64
}

// updateSlowStart computes the means. The lock is held.
func (u *upstream) updateSlowStart() {
	u.slowStart = slowStart{}
	established := 0
	for _, s := range u.available {
		if s.speed.New() {
			continue
		}
		established++
		u.slowStart.running += float64(s.running + s.peersRunning)
		u.slowStart.pendingPrefill += float64(s.pendingPrefill())
	}
	// While most replicas are new, as after a restart of all nodes, none is held back.
	if 2*established < len(u.available) {
		u.slowStart = slowStart{}
		return
	}
	u.slowStart.running /= float64(max(established, 1))
	u.slowStart.pendingPrefill /= float64(max(established, 1))
}

// slowStartCost returns the cost of load that a new replica is assumed to have. It is bounded by what
// the mean replica costs.
func (u *upstream) slowStartCost(r *Request, s *replicaState) float64 {
	if !s.speed.New() {
		return 0
	}
	unknown := 1 - s.speed.Shown()
	running := unknown * u.slowStart.running
	if r.PromptTokens == 0 {
		return (runningCost + u.serviceMS/float64(max(s.replica.Slots, 1))) * running
	}
	return runningCost*running + u.prefillSpeed.PrefillMS(int(unknown*u.slowStart.pendingPrefill))
}
