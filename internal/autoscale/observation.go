package autoscale

import (
	"time"

	"galenatrestle/internal/replica"
	"galenatrestle/internal/route"
)

// Observation is what is known of an upstream's replicas at one moment.
type Observation struct {
	Upstream string
	Scaling  route.Scaling
	// Slots is the number of requests that one replica runs at once.
	Slots int
	// Zones are the availability zones in which it may run, by name.
	Zones []Zone
	// Busy is the requests that run or wait at the replicas.
	Busy int
	// Age is that of the news of the replicas.
	Age time.Duration
}

// Zone is one availability zone of an Observation.
type Zone struct {
	Name string
	// Ready counts the replicas of each kind that take requests.
	Ready map[Kind]int
}

// ready is the number of replicas of the kind that take requests.
func (o *Observation) ready(kind Kind) int {
	sum := 0
	for _, z := range o.Zones {
		sum += z.Ready[kind]
	}
	return sum
}

// readyIn is the number of replicas of the pool that take requests.
func (o *Observation) readyIn(p Pool) int {
	for _, z := range o.Zones {
		if z.Name == p.AvailabilityZone {
			return z.Ready[p.Kind]
		}
	}
	return 0
}

// names are the zones' names.
func (o *Observation) names() []string {
	names := make([]string, len(o.Zones))
	for i, z := range o.Zones {
		names[i] = z.Name
	}
	return names
}

// CountZone counts the replicas of an availability zone that are not leaving.
func CountZone(name string, replicas []replica.Replica) Zone {
	z := Zone{Name: name, Ready: make(map[Kind]int)}
	for _, r := range replicas {
		switch {
		case r.Draining:
		case r.Reclaimable:
			z.Ready[Reclaimable]++
		default:
			z.Ready[OnDemand]++
		}
	}
	return z
}
