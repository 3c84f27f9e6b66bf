package brittle

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"galenatrestle/internal/replica"
)

const (
	// retention is how long a replica counts as brittle after it last said so. Brittle replicas say
	// so in all their responses.
	retention = 30 * time.Second
	// refreshInterval is the interval at which a repeated notice is recorded.
	refreshInterval = time.Second
	// minRest and maxRest bound the time without requests after a refusal.
	minRest = time.Second
	maxRest = 30 * time.Second
	// refusalShare is the part of the refusals that a replica bears that nodes make use of. The rest
	// is for requests that are in flight when the first refusal arrives.
	refusalShare = 0.5
)

// Notice is what a response says of its replica.
type Notice struct {
	// Brittle is whether the replica is brittle, RefusalsPerSecond how many refusals it bears.
	Brittle           bool
	RefusalsPerSecond float64
}

// State is what is known of a brittle replica.
type State struct {
	RefusalsPerSecond float64
	SaidAt            time.Time
	// RestUntil is when the time without requests after a refusal ends.
	RestUntil time.Time
}

// says reports whether the notice has just been recorded.
func (s State) says(n Notice, now time.Time) bool {
	return n.Brittle && n.RefusalsPerSecond == s.RefusalsPerSecond && now.Sub(s.SaidAt) < refreshInterval
}

// States are those of all brittle replicas, by process.
type States map[replica.Process]State

// Of returns the state of the replica; false: it is not brittle.
func (s States) Of(r *replica.Replica, now time.Time) (State, bool) {
	if len(s) == 0 {
		return State{}, false
	}
	state, known := s[r.Process()]
	return state, known && now.Sub(state.SaidAt) < retention
}

// RestEnd returns when the time without requests to the replica ends. A time in the past means that
// there is none.
func (s States) RestEnd(r *replica.Replica, now time.Time) time.Time {
	if state, isBrittle := s.Of(r, now); isBrittle {
		return state.RestUntil
	}
	return time.Time{}
}

// Fleet tells among which nodes slots and refusals are shared.
type Fleet interface {
	// NodeCount returns the number of nodes that may send requests, or more.
	NodeCount() int
	// Place returns this node's place, from 0 on, in an order of all nodes that depends on the key, and
	// their number; false: this node may not know all of them.
	Place(key string) (place, nodes int, known bool)
}

// Table is the states of all brittle replicas. It is safe for concurrent use.
type Table struct {
	fleet Fleet

	mu sync.Mutex
	// current is replaced by each change; stored maps are immutable.
	current atomic.Pointer[States]
}

// NewTable returns an empty table of a node of the fleet.
func NewTable(fleet Fleet) *Table { return &Table{fleet: fleet} }

// Current returns the states. The map is shared and must not be modified.
func (t *Table) Current() States {
	if states := t.current.Load(); states != nil {
		return *states
	}
	return nil
}

// Share returns the number of a replica's slots that this node may use while the replica is
// brittle: what other nodes report is too old to use more without risking refusals. If exact is set, the
// shares of all nodes together are the slots; otherwise they may be more or fewer.
func (t *Table) Share(id string, slots int) (share int, exact bool) {
	place, nodes, known := t.fleet.Place(id)
	if !known {
		return max(slots/max(t.fleet.NodeCount(), 1), 1), false
	}
	share = slots / nodes
	if place < slots%nodes {
		share++
	}
	return share, true
}

// Observe records a response of the process. refused is whether the replica refused the request.
// It reports whether the process became brittle or ceased to be.
func (t *Table) Observe(now time.Time, process replica.Process, n Notice, refused bool) bool {
	if before, known := t.Current()[process]; !known && !n.Brittle || known && !refused && before.says(n, now) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.Current()[process]
	next := State{RefusalsPerSecond: n.RefusalsPerSecond, SaidAt: now, RestUntil: before.RestUntil}
	if refused {
		next.RestUntil = now.Add(rest(n.RefusalsPerSecond, t.fleet.NodeCount()))
	}
	states := maps.Clone(t.Current())
	if states == nil {
		states = make(States)
	}
	maps.DeleteFunc(states, func(_ replica.Process, s State) bool { return now.Sub(s.SaidAt) >= retention })
	if n.Brittle {
		states[process] = next
	} else {
		delete(states, process)
	}
	t.current.Store(&states)
	return n.Brittle != known
}

// rest returns how long a node leaves a replica alone after a refusal, so that all nodes together
// cause at most refusalShare of the refusals that it bears.
func rest(refusalsPerSecond float64, nodes int) time.Duration {
	borne := refusalShare * refusalsPerSecond
	if borne <= 0 {
		return maxRest
	}
	return min(max(time.Duration(float64(nodes)/borne*float64(time.Second)), minRest), maxRest)
}
