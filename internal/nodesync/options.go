package nodesync

import (
	"math/rand/v2"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/fleettime"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/returns"
	"galenatrestle/internal/routesource"
)

// Options configures a Sync.
type Options struct {
	// Self returns this node's state; LastSeen is not used.
	Self     func() Node
	Nodes    *Nodes
	Routes   *routesource.Current
	Replicas *replica.Set
	// OnReplicaChanges is called with the changes of the replica listing.
	OnReplicaChanges func([]replica.Change)
	Placer           *placement.Placer
	// FairShare has the use of upstreams by workspace; nil: none is exchanged.
	FairShare   *fairshare.Sharing
	Tracker     *quarantine.Tracker
	CrashCauses *crashcause.Tracker
	// Returns has the refused callers that were told to return; nil: none are announced.
	Returns *returns.Table
	// RateLimitTable has the rate limits that replicas reported.
	RateLimitTable *ratelimit.Table
	// Clients may be set later by SetClients.
	Clients *peer.Clients
	// IdleRoundInterval returns n such that an idle member makes calls only in every
	// nth round.
	IdleRoundInterval func() int
	// SumsMaxAge is how long a hub reuses its sums; zero recomputes them for each
	// response.
	SumsMaxAge time.Duration
	Clock      boottime.Clock
	// FleetTime is the fleet's time of day. If nil, wall-clock times are neither sent
	// nor used.
	FleetTime *fleettime.Clock
	Rand      *rand.Rand
	Log       *eventlog.Log
}

// DefaultSumsMaxAge is a quarter of a round: it limits a hub to twenty recomputations a
// second and adds little delay for members.
const DefaultSumsMaxAge = roundInterval / 4
