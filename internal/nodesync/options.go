package nodesync

import (
	"math/rand/v2"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/fleettime"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/ratelimit"
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
	// OnReplicaChanges is told of each change of the replicas.
	OnReplicaChanges func([]replica.Change)
	Placer           *placement.Placer
	Tracker          *quarantine.Tracker
	// RateLimits are the rates that replicas name.
	RateLimits *ratelimit.Table
	// Clients may be given later by SetClients.
	Clients *peer.Clients
	// IdleRoundInterval is the number of rounds of which a node that serves nobody makes one.
	IdleRoundInterval func() int
	// SumsMaxAge is how long a hub tells the same sums; zero: it adds up for each
	// answer.
	SumsMaxAge time.Duration
	Clock      boottime.Clock
	// FleetTime is the fleet's time of day; nil where nothing is counted by it, and nodes do
	// not tell theirs.
	FleetTime *fleettime.Clock
	Rand      *rand.Rand
	Log       *eventlog.Log
}

// DefaultSumsMaxAge is a quarter of the time between two rounds: a member hears little
// later, and a hub adds up twenty times a second at most.
const DefaultSumsMaxAge = roundEvery / 4
