package fleetsim

import (
	"time"

	"galenatrestle/internal/placement"
)

const (
	// sumsEvery is the time between two sums that the hubs make.
	sumsEvery = 50 * time.Millisecond
	// sumsAge is how old a sum is when it is told: a round between the nodes and the
	// hubs and one between the hubs.
	sumsAge = 250 * time.Millisecond
)

// sums is what hubs know of all nodes at one time.
type sums struct {
	at         time.Duration
	fleet      []placement.Load
	own        map[*node][]placement.Load
	placements []placement.Placement
	use        useSums
}

// addUp makes the sums that are told sumsAge later.
func (f *fleet) addUp(now time.Duration) {
	if now%sumsEvery != 0 {
		return
	}
	at := epoch.Add(now)
	s := sums{at: now, own: make(map[*node][]placement.Load)}
	var total map[string]placement.Load
	for _, n := range f.nodes {
		s.own[n] = n.placer.Loads(at)
		total = placement.SumLoads(total, s.own[n])
		s.placements = append(s.placements, n.placer.Placements(at, time.Time{})...)
	}
	for _, l := range total {
		s.fleet = append(s.fleet, l)
	}
	s.use = f.addUpUse(at)
	f.sums = append(f.sums, s)
	f.addUpReturns(now)
}

// tellSums gives the node what the hubs knew sumsAge ago.
func (f *fleet) tellSums(n *node, now time.Duration) {
	for len(f.sums) > 1 && f.sums[1].at <= now-sumsAge {
		f.sums = f.sums[1:]
	}
	if len(f.sums) == 0 || f.sums[0].at > now-sumsAge {
		return
	}
	s := &f.sums[0]
	at := epoch.Add(now)
	n.placer.SetFleetLoads(s.fleet, s.own[n], at)
	n.placer.SetPlacements(s.placements, false, at)
	if n.sharing != nil {
		n.sharing.SetFleet(s.use.fleet, s.use.own[n], at)
	}
	f.tellReturnsOfAll(n, now)
}
