package fleetsim

import (
	"math/rand/v2"
	"strconv"
	"time"

	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/overload"
	"galenatrestle/internal/placement"
)

// Workspace is a part of the callers.
type Workspace struct {
	// Weight is its part of the usual load, compared with the other workspaces' weights.
	Weight float64
	// Times is by what its usual load is multiplied; zero: it sends nothing.
	Times float64
}

// fairWindow and leastShare are the defaults of the settings.
const (
	fairWindow = 2 * time.Second
	leastShare = 0.1
)

// workspace is the source of a workspace's calls. Each has its own chance, so that its calls are the same
// whatever the others send.
type workspace struct {
	random *rand.Rand
	// part is its part of the usual load, multiplied by Times.
	part float64
}

func (f *fleet) newWorkspaces() {
	total := 0.0
	for _, w := range f.scenario.Workspaces {
		total += w.Weight
	}
	for i, w := range f.scenario.Workspaces {
		random := rand.New(rand.NewPCG(f.scenario.Seed, uint64(2000+i)))
		f.workspaces = append(f.workspaces, workspace{random: random, part: w.Weight / total * w.Times})
	}
}

// arriveByWorkspace draws the calls of one tick.
func (f *fleet) arriveByWorkspace(now time.Duration) {
	for k, w := range f.workspaces {
		for i := range f.scenario.Classes {
			class := &f.scenario.Classes[i]
			if w.random.Float64() < class.PerSecond*f.scenario.times(class.Name, now)*w.part*tick.Seconds() {
				f.call(now, i, w.random, k)
			}
		}
	}
}

// standing is that of the call's workspace, as the node knows it.
func (n *node) standing(at time.Time, c *call) fairshare.Standing {
	return n.sharing.Standing(at, upstream, strconv.Itoa(c.workspace))
}

// rank is the call's rank at the engines.
func (f *fleet) rank(c *call, standing fairshare.Standing) int {
	if !f.scenario.FairAdmission {
		return c.class.Rank
	}
	ranks := 0
	for _, class := range f.scenario.Classes {
		ranks = max(ranks, class.Rank+1)
	}
	return fairshare.SplitRank(c.class.Rank, ranks, standing.Above)
}

// observe counts the call in its workspace's use.
func (n *node) observe(at time.Time, c *call, choice *placement.Choice, request *overload.Request, refused bool) {
	prompt := c.ownTokens + c.class.SharedTokens + c.class.CommonTokens
	n.sharing.Observe(at, fairshare.Call{
		Upstream: upstream, Workspace: strconv.Itoa(c.workspace), Cost: fairshare.CallCost(prompt, choice.CachedTokens, c.answerTokens),
		QueuePart: request.QueuePart(), Refused: refused, Above: request.Share < 1,
	})
}

// useSums is what hubs know of the use of all nodes at one time.
type useSums struct {
	fleet fairshare.Sums
	own   map[*node]fairshare.Sums
}

// addUpUse makes the sums of use as a hub does.
func (f *fleet) addUpUse(at time.Time) useSums {
	if !f.scenario.FairAdmission {
		return useSums{}
	}
	hub := fairshare.New(fairshare.Options{Window: fairWindow})
	sums := useSums{own: make(map[*node]fairshare.Sums, len(f.nodes))}
	for _, n := range f.nodes {
		sums.own[n] = n.sharing.OwnUse(at)
		hub.SetPeer(n.name, sums.own[n], true, at)
	}
	sums.fleet = hub.GroupUse(at)
	return sums
}

// countWorkspace counts a call of a workspace.
func (r *Report) countWorkspace(c *call) {
	for len(r.Workspaces) <= c.workspace {
		r.Workspaces = append(r.Workspaces, Tally{})
	}
	r.Workspaces[c.workspace].count(c.outcome)
}
