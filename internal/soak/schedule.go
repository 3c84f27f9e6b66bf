package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"galenatrestle/internal/soak/pathfault"
)

// kind is one kind of fault or planned change.
type kind string

// The kinds.
const (
	killNode      kind = "kill_node"
	pauseNode     kind = "pause_node"
	stopNode      kind = "stop_node"
	hupNode       kind = "hup_node"
	cutStore      kind = "cut_store"
	storeDown     kind = "store_down"
	storeSlow     kind = "store_slow"
	replicaSlow   kind = "replica_slow"
	replicaDark   kind = "replica_dark"
	replicaReset  kind = "replica_reset"
	replicaOneWay kind = "replica_one_way"
	replicaCrash  kind = "replica_crash"
	replicaLeaves kind = "replica_leaves"
	replicaLimit  kind = "replica_limit"
	// replicaNotice is a replica that says in its answers that it leaves, long before its
	// registration does.
	replicaNotice kind = "replica_notice"
	// replicaPause is a replica that refuses all requests and asks for a pause.
	replicaPause kind = "replica_pause"
	// replicasBrittle is a time in which the replicas of a service are brittle.
	replicasBrittle kind = "replicas_brittle"
	// replicaSilent is a sound replica that says nothing for about a second and goes on.
	replicaSilent kind = "replica_silent"
	// replicasSilent is a time in which no replica begins or goes on with calls, though all are sound.
	replicasSilent kind = "replicas_silent"
	// storeRestore is a store that comes back from an older copy.
	storeRestore kind = "store_restore"
	// nodesCut is a time in which some nodes reach no replica.
	nodesCut kind = "nodes_cut"
	// killNodes is a kill of some or all nodes at once.
	killNodes kind = "kill_nodes"
	// stopNodes is a planned stop of all nodes at once.
	stopNodes kind = "stop_nodes"
	// modelRelease is a new software version that replaces half of the models in turn.
	modelRelease kind = "model_release"
	// modelsCrash is a crash of a third of the models at once.
	modelsCrash  kind = "models_crash"
	configChange kind = "config_change"
	revokeKey    kind = "revoke_key"
)

var kinds = []kind{
	killNode, pauseNode, stopNode, hupNode, cutStore, storeDown, storeSlow, replicaSlow, replicaDark,
	replicaReset, replicaOneWay, replicaCrash, replicaLeaves, configChange, revokeKey,
}

// event is one entry of a schedule.
type event struct {
	at   time.Duration
	kind kind
	// target chooses among the things that the kind is about.
	target int
	lasts  time.Duration
	// fault is that of a cut; empty: the target chooses it.
	fault pathfault.Fault
	// rate is the requests a second that a replica names.
	rate float64
}

func (e event) String() string {
	return fmt.Sprintf("%s %s %d for %s", e.at.Round(time.Millisecond), e.kind, e.target, e.lasts.Round(time.Millisecond))
}

const (
	// rateLimitLasts is how long a replica names a rate: the time until it counts and two
	// windows in which requests are added up.
	rateLimitLasts = rateStable + 2*rateWindow
	// lowestRate and highestRate bound the rates, in requests a second.
	lowestRate  = 0.5
	highestRate = 4.0
)

// replicaEvents draws times of one kind, apart from the faults, so that a seed's faults are the
// same with and without them.
func replicaEvents(random *rand.Rand, k kind, length time.Duration, count int, lasts time.Duration) []event {
	var events []event
	for range count {
		events = append(events, event{
			at: time.Duration(random.Int64N(int64(length))), kind: k, target: random.IntN(1000),
			lasts: lasts, rate: lowestRate + random.Float64()*(highestRate-lowestRate),
		})
	}
	return events
}

// longestFault bounds how long a fault lasts.
const longestFault = 2500 * time.Millisecond

// schedule draws about two events a second; they come in series and overlap. The
// last part of the run is left without faults.
func schedule(seed uint64, length time.Duration) []event {
	random := rand.New(rand.NewPCG(seed, 1))
	var events []event
	for range int(2 * length.Seconds()) {
		events = append(events, event{
			at:     time.Duration(random.Int64N(int64(length))),
			kind:   kinds[random.IntN(len(kinds))],
			target: random.IntN(1000),
			lasts:  longestFault/10 + time.Duration(random.Int64N(int64(longestFault))),
		})
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}
