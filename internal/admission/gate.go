package admission

import "time"

// probeEvery is how many of the requests expected to be of no use go through:
// one in so many. Were the estimate wrong, their answers correct it.
const probeEvery = 10

// Gate decides on the arrivals of one class at one pool.
type Gate struct {
	hopeless uint64
}

// Admit says whether a request is let in whose answer is expected to take
// service and is of use for use from now on.
func (g *Gate) Admit(service, use time.Duration) bool {
	if use <= 0 {
		return false
	}
	if service <= use {
		return true
	}
	g.hopeless++
	return g.hopeless%probeEvery == 0
}
