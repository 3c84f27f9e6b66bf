package fairshare

import (
	"math"
	"sync"
	"time"
)

const (
	// maxAccounts bounds the workspaces that a node counts at an upstream. A deployment may have 11,000;
	// those with calls at one node within a few windows are far fewer. The calls of further ones are not
	// counted, and these are never above their share.
	maxAccounts = 2048
	// negligibleCost is the decayed cost, in tokens, at which an account is dropped. The sums between
	// nodes are rounded to whole tokens.
	negligibleCost = 0.5
	// divisionInterval is the least time between divisions at reports of other nodes. A report comes every
	// 0.2 s with hubs, and more often without.
	divisionInterval = 50 * time.Millisecond
	// divisionMaxAge is the age at which a call divides anew, which takes 5 to 10 us with 64 workspaces.
	// Calls do so only where reports are missing.
	divisionMaxAge = 300 * time.Millisecond
	// aboveShare is the share below which a workspace is above its share, and withinShare that above
	// which it is within it again. With less distance from 1, workspaces of equal traffic are above their
	// share by chance: the use of one with ten calls a second varies by a third.
	aboveShare  = 0.6
	withinShare = 0.8
	// refusedRoom is the part of the asked cost that may be refused while an upstream has room.
	refusedRoom = 0.01
)

// upstream is the state of one upstream. Its methods are called with mu held.
type upstream struct {
	name   string
	window time.Duration

	mu       sync.Mutex
	accounts map[ID]*account
	queue    queueAccount
	// above are the workspaces above their share as of dividedAt.
	above     map[ID]Standing
	dividedAt time.Time
	// largestPart is the largest part of the use that a workspace had as of dividedAt.
	largestPart float64
	changes     changeLimit
	// scratch and askedScratch are buffers that divide reuses: it runs twenty times a second.
	scratch      []workspaceCost
	askedScratch []float64
}

func newUpstream(name string, window time.Duration) *upstream {
	return &upstream{name: name, window: window, accounts: make(map[ID]*account)}
}

// decay returns the factor by which cost decays in the time.
func (u *upstream) decay(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / u.window.Seconds())
}

// account returns the workspace's account, or nil if there are too many.
func (u *upstream) account(now time.Time, workspace string) *account {
	id := IDOf(workspace)
	if a, found := u.accounts[id]; found {
		return a
	}
	if len(u.accounts) >= maxAccounts {
		u.use(now)
		if len(u.accounts) >= maxAccounts {
			return nil
		}
	}
	a := &account{name: workspace, decayedAt: now}
	u.accounts[id] = a
	return a
}

// use returns this node's use and drops negligible accounts.
func (u *upstream) use(now time.Time) Use {
	use := Use{Workspaces: make(map[ID]Cost, len(u.accounts)), Queue: u.queue.at(now, u.window)}
	for id, a := range u.accounts {
		cost := a.cost.times(u.decay(now.Sub(a.decayedAt)))
		if cost.Asked < negligibleCost {
			delete(u.accounts, id)
			continue
		}
		use.Workspaces[id] = cost
	}
	return use
}

// observeQueue counts the queue that the call expected. Those of workspaces above their share do not count:
// the queue is to be short for the others.
func (u *upstream) observeQueue(now time.Time, c Call) {
	switch {
	case c.Above:
	case c.Refused:
		u.queue.add(now, u.window, c.Cost, 1)
	default:
		u.queue.add(now, u.window, c.Cost, c.QueuePart)
	}
}

// divide computes which workspaces are above their share. What was started lately, less as the queue grows,
// is what the upstream can take; it is divided by what the callers want. While there is room, that is, with
// a short queue and hardly any refusals, nobody is above its share.
func (u *upstream) divide(now time.Time, s *Sharing) {
	others, age := s.reports.others(now)
	known := others[u.name]
	u.collect(now, known)
	total, most := known.Rest, 0.0
	wanted := u.askedScratch[:0]
	for i := range u.scratch {
		cost := u.scratch[i].cost
		total, most = total.plus(cost), max(most, cost.Started)
		wanted = append(wanted, cost.demand())
	}
	u.askedScratch = wanted
	excess := u.queue.at(now, u.window).plus(known.Queue).excess()
	level := math.Inf(1)
	if excess > 0 || total.Asked-total.Started > refusedRoom*total.Asked {
		// The workspaces that are not listed want less than the listed ones.
		level = fairLevel(wanted, max(capacity(total.Started, excess)-known.Rest.demand(), 0))
	}
	before := u.above
	u.above, u.dividedAt, u.largestPart = nil, now, most/max(total.Started, 1)
	for i := range u.scratch {
		u.setStanding(u.scratch[i], level, total.Started/float64(len(wanted)), before, s.options.MinShare)
	}
	u.reportChanges(now, s, before, division{capacity: total.Started, level: level, excess: excess, age: age})
}

// setStanding records the workspace as above its share if it is. However long the queue, nobody is who uses
// no more than an equal part of what is started.
func (u *upstream) setStanding(w workspaceCost, level, equalPart float64, before map[ID]Standing, minShare float64) {
	if w.cost.demand() <= level {
		return
	}
	used := max(w.cost.Started, 1)
	certain := max(level, equalPart) / used
	_, wasAbove := before[w.id]
	if certain >= withinShare || certain >= aboveShare && !wasAbove {
		return
	}
	share := level / used
	if u.above == nil {
		u.above = make(map[ID]Standing)
	}
	u.above[w.id] = Standing{Share: min(max(share, minShare), 1), Above: true}
}

// collect sets scratch to the costs of the workspaces at all nodes.
func (u *upstream) collect(now time.Time, others Use) {
	u.scratch = u.scratch[:0]
	for id, a := range u.accounts {
		cost := a.cost.times(u.decay(now.Sub(a.decayedAt)))
		u.scratch = append(u.scratch, workspaceCost{id, cost.plus(others.Workspaces[id])})
	}
	for id, cost := range others.Workspaces {
		if _, own := u.accounts[id]; !own {
			u.scratch = append(u.scratch, workspaceCost{id, cost})
		}
	}
}

// workspaceCost is the cost of one workspace at all nodes.
type workspaceCost struct {
	id   ID
	cost Cost
}
