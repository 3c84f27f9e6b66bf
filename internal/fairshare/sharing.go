package fairshare

import (
	"sync"
	"time"
)

// Options configures a Sharing.
type Options struct {
	// Window is the time constant with which cost decays.
	Window time.Duration
	// MinShare is the least share of a workspace.
	MinShare float64
	// StartedAt is when the node started. Until a window later nobody is above its share: the sums
	// of a node, and of a fleet that restarts as a whole, are those of a few calls.
	StartedAt time.Time
	// OnChange is called when a workspace with calls at this node gets above its share or back
	// within it; may be nil.
	OnChange func(Change)
}

// Sharing decides how an upstream is divided between workspaces. A nil Sharing keeps nothing and finds
// nobody above its share. It is safe for concurrent use.
type Sharing struct {
	options   Options
	reports   *reports
	upstreams sync.Map // of *upstream by name
}

// New returns a Sharing without any use.
func New(options Options) *Sharing { return &Sharing{options: options, reports: newReports()} }

// Standing is how a workspace's use of an upstream compares with its share.
type Standing struct {
	// Share is the workspace's fair part divided by its part of the use, from Options.MinShare to 1.
	Share float64
	// Above is whether the workspace is above its share while the upstream is short of capacity.
	Above bool
}

// within is the standing of workspaces that are not above their share.
var within = Standing{Share: 1}

// Standing returns the workspace's standing.
func (s *Sharing) Standing(now time.Time, upstreamName, workspace string) Standing {
	if s == nil || now.Sub(s.options.StartedAt) < s.options.Window {
		return within
	}
	u := s.upstream(upstreamName)
	u.mu.Lock()
	defer u.mu.Unlock()
	if now.Sub(u.dividedAt) >= divisionMaxAge {
		u.divide(now, s)
	}
	if standing, found := u.above[IDOf(workspace)]; found {
		return standing
	}
	return within
}

// Call is one call for which admission was decided.
type Call struct {
	Upstream, Workspace string
	Cost                float64
	// QueuePart is the expected queue time divided by the longest that is allowed within the share.
	QueuePart float64
	// Refused is whether the call was refused, Above whether its workspace was above its share.
	Refused, Above bool
}

// Observe counts the call.
func (s *Sharing) Observe(now time.Time, c Call) {
	if s == nil {
		return
	}
	u := s.upstream(c.Upstream)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.observeQueue(now, c)
	a := u.account(now, c.Workspace)
	if a == nil {
		return
	}
	a.cost = a.cost.times(u.decay(now.Sub(a.decayedAt)))
	a.decayedAt = now
	a.cost.Asked += c.Cost
	if !c.Refused {
		a.cost.Started += c.Cost
	}
}

func (s *Sharing) upstream(name string) *upstream {
	if u, found := s.upstreams.Load(name); found {
		return u.(*upstream)
	}
	u, _ := s.upstreams.LoadOrStore(name, newUpstream(name, s.options.Window))
	return u.(*upstream)
}

// ownUse returns this node's use, by upstream.
func (s *Sharing) ownUse(now time.Time) Sums {
	sums := make(Sums)
	for _, u := range s.upstreams.Range {
		u := u.(*upstream)
		u.mu.Lock()
		if use := u.use(now); len(use.Workspaces) > 0 {
			sums[u.name] = use
		}
		u.mu.Unlock()
	}
	return sums
}
