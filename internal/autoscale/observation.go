package autoscale

import (
	"time"

	"galenatrestle/internal/replica"
	"galenatrestle/internal/route"
)

// Observation is a snapshot of an upstream's replicas and load.
type Observation struct {
	Upstream string
	Scaling  route.Scaling
	// Slots is the number of requests that one replica runs concurrently.
	Slots int
	// Zones are the availability zones in which the upstream may run, by name.
	Zones []Zone
	// Busy is the number of requests running or queued at the replicas.
	Busy int
	// Age is the age of the replica data.
	Age time.Duration
}

// Zone is one availability zone of an Observation.
type Zone struct {
	Name string
	// Ready is the number of replicas by kind that accept requests.
	Ready map[Kind]int
}

// ready returns the number of replicas of the kind that accept requests, in all zones.
func (o *Observation) ready(kind Kind) int {
	sum := 0
	for _, z := range o.Zones {
		sum += z.Ready[kind]
	}
	return sum
}

// readyIn returns the number of replicas in the pool that accept requests.
func (o *Observation) readyIn(p Pool) int {
	for _, z := range o.Zones {
		if z.Name == p.AvailabilityZone {
			return z.Ready[p.Kind]
		}
	}
	return 0
}

func (o *Observation) zoneNames() []string {
	names := make([]string, len(o.Zones))
	for i, z := range o.Zones {
		names[i] = z.Name
	}
	return names
}

// CountZone counts the replicas of an availability zone that are not draining.
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
