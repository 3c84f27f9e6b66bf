package node

import (
	"galenatrestle/internal/config"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/router"
)

// replicaKey names one replica of one upstream.
type replicaKey struct{ upstream, replica string }

// replicaIndex is the lookups of a configuration's replicas.
type replicaIndex struct {
	byKey map[replicaKey]config.Replica
	// names holds the replicas' names by address.
	names map[string]string
	// known holds the replicas' names.
	known map[string]bool
	// engines holds the engines' addresses by name.
	engines map[string]string
}

func indexReplicas(document *config.Document) replicaIndex {
	index := replicaIndex{
		byKey:   make(map[replicaKey]config.Replica),
		names:   make(map[string]string),
		known:   make(map[string]bool),
		engines: make(map[string]string),
	}
	for _, upstream := range document.Upstreams {
		for _, replica := range upstream.Replicas {
			index.byKey[replicaKey{upstream.Name, replica.Name}] = replica
			index.names[replica.Address] = replica.Name
			index.known[replica.Name] = true
			if upstream.Kind == config.KindEngine {
				index.engines[replica.Name] = replica.Address
			}
		}
	}
	return index
}

// split sorts the platform's list into entry VMs and upstreams' VMs.
func (x replicaIndex) split(list []platform.Instance) (entries, upstreams []platform.Instance) {
	for _, instance := range list {
		if x.known[instance.Name] {
			upstreams = append(upstreams, instance)
			continue
		}
		entries = append(entries, instance)
	}
	return entries, upstreams
}

// loadOf is the part of this node's slots in use, above 1 while requests wait.
func loadOf(stats map[string]router.Stats) float64 {
	requests, slots := slotsInUse(stats)
	if slots == 0 {
		return 0
	}
	return float64(requests) / float64(slots)
}

// slotsInUse counts the requests that run or wait here, and the slots that this
// node may use.
func slotsInUse(stats map[string]router.Stats) (requests, slots int) {
	for _, pool := range stats {
		for _, replica := range pool.Replicas {
			requests += replica.Running
			slots += replica.Limit
		}
		for _, class := range pool.Classes {
			requests += class.Waiting
		}
	}
	return requests, slots
}
