package admission

import "time"

// One in probeInterval infeasible requests is admitted as a probe, so that its answer can
// correct a wrong estimate.
const probeInterval = 10

// Gate admits or rejects the requests of one class at one pool.
type Gate struct {
	// infeasible counts the requests whose expected service time exceeded the remaining time.
	infeasible uint64
}

// Admit reports whether to admit a request with the expected serviceTime whose answer is
// useful for the remaining time.
func (g *Gate) Admit(serviceTime, remaining time.Duration) bool {
	if remaining <= 0 {
		return false
	}
	if serviceTime <= remaining {
		return true
	}
	g.infeasible++
	return g.infeasible%probeInterval == 0
}
