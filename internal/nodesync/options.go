package nodesync

import (
	"math/rand/v2"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/routesource"
)

// Options are what a Sync works with.
type Options struct {
	// Self returns this node's state; its HeardAt is not used.
	Self     func() Node
	Nodes    *Nodes
	Routes   *routesource.Current
	Replicas *replica.Set
	// Listed is told of each change of the replicas.
	Listed  func([]replica.Change)
	Placer  *placement.Placer
	Tracker *quarantine.Tracker
	// Clients may be given later by SetClients.
	Clients *peer.Clients
	Clock   boottime.Clock
	Rand    *rand.Rand
	Log     *eventlog.Log
}
