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
	// shortTime is how long an upstream counts as short of capacity after a call that found a queue. It
	// is the time for which package overload refuses less urgent ranks after a refusal.
	shortTime = time.Second
	// divisionInterval is the least time between divisions at reports of other nodes. A report comes every
	// 0.2 s with hubs, and more often without.
	divisionInterval = 50 * time.Millisecond
	// divisionMaxAge is the age at which a call divides anew, which takes 5 to 10 us with 64 workspaces.
	// Calls do so only where reports are missing.
	divisionMaxAge = 300 * time.Millisecond
	// aboveMargin is by how much a workspace must ask for more than its fair part to get above its share.
	aboveMargin = 1.05
	// usedPart is the part of its fair part that a workspace must have used to be above its share. One
	// that asks for more, and was refused down to its fair part, stays above its share: otherwise it
	// would push the others aside again at once.
	usedPart = 0.5
)

// upstream is the state of one upstream. Its methods are called with mu held.
type upstream struct {
	name   string
	window time.Duration

	mu       sync.Mutex
	accounts map[ID]*account
	// shortAt is when a call last found a queue.
	shortAt time.Time
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

func (u *upstream) isShort(now time.Time) bool {
	return !u.shortAt.IsZero() && now.Sub(u.shortAt) < shortTime
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
	use := Use{Workspaces: make(map[ID]Cost, len(u.accounts))}
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

// endDivision drops the division when the upstream is not short any more.
func (u *upstream) endDivision(now time.Time, s *Sharing) {
	if len(u.above) == 0 {
		return
	}
	before := u.above
	u.above = nil
	u.reportChanges(now, s, before, division{level: math.Inf(1)})
}

// divide computes which workspaces are above their share. What was started lately is what the upstream
// can take; it is divided by what is asked. If all that is asked is started, nobody is above its share.
func (u *upstream) divide(now time.Time, s *Sharing) {
	others, age := s.reports.others(now)
	rest := u.collect(now, others[u.name])
	total, most := rest, 0.0
	asked := u.askedScratch[:0]
	for i := range u.scratch {
		cost := u.scratch[i].cost
		total, most = total.plus(cost), max(most, cost.Started)
		asked = append(asked, cost.Asked)
	}
	u.askedScratch = asked
	// The workspaces that are not listed ask for less than the listed ones.
	level := fairLevel(asked, max(total.Started-rest.Asked, 0))
	before := u.above
	u.above, u.dividedAt, u.largestPart = nil, now, most/max(total.Started, 1)
	for i := range u.scratch {
		id, cost := u.scratch[i].id, u.scratch[i].cost
		_, wasAbove := before[id]
		asksTooMuch := cost.Asked > aboveMargin*level || wasAbove && cost.Asked > level
		if !asksTooMuch || cost.Started <= usedPart*level {
			continue
		}
		if u.above == nil {
			u.above = make(map[ID]Standing)
		}
		u.above[id] = Standing{Share: min(max(level/cost.Started, s.options.MinShare), 1), Above: true}
	}
	u.reportChanges(now, s, before, division{capacity: total.Started, level: level, age: age})
}

// collect sets scratch to the costs of the workspaces at all nodes, and returns the cost of those that
// the other nodes did not list.
func (u *upstream) collect(now time.Time, others Use) (rest Cost) {
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
	return others.Rest
}

// workspaceCost is the cost of one workspace at all nodes.
type workspaceCost struct {
	id   ID
	cost Cost
}
