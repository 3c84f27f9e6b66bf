package fleetsim

import (
	"time"

	"galenatrestle/internal/overload"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/returns"
)

// arrive recognizes a caller that returns.
func (n *node) arrive(at time.Time, c *call) {
	if n.returns != nil {
		c.arrival = n.returns.Table.Arrive(at, quarantine.Fingerprint(c.id))
	}
}

// decide admits or refuses the call, and schedules its return.
func (n *node) decide(at time.Time, c *call, r overload.Request) overload.Decision {
	if n.returns == nil {
		return n.gates.Of(upstream).Decide(at, r)
	}
	r.Returned, r.Reserved = c.arrival.Kind == returns.AsTold, n.returns.Reserved(at, upstream, r.Rank)
	decision := n.gates.Of(upstream).Decide(at, r)
	if !decision.Refused() {
		n.returns.Admitted(at, upstream, r.Rank)
		return decision
	}
	decision.RetryAfter = n.returns.Refuse(at, returns.Refusal{
		Upstream: upstream, Rank: r.Rank, Fingerprint: quarantine.Fingerprint(c.id), Arrival: c.arrival,
		QueueTime: r.QueueTime, TimeLeft: r.TimeLeft,
	}).RetryAfter
	return decision
}

// tellReturns tells one node the other's returns.
func tellReturns(from, to *node, at time.Time) {
	if from.returns == nil {
		return
	}
	changes, _ := from.returns.Table.Changes(at, 0, to.name)
	for _, e := range changes {
		to.returns.Table.Add(at, e, from.name)
	}
}

// hubs is the name under which nodes learn the returns of all others.
const hubs = "hubs"

// toldReturn is a return that the hubs learned at a time.
type toldReturn struct {
	at    time.Duration
	entry returns.Entry
}

// addUpReturns collects the returns that the nodes have told.
func (f *fleet) addUpReturns(now time.Duration) {
	for _, n := range f.nodes {
		if n.returns == nil {
			continue
		}
		var changes []returns.Entry
		changes, n.toldReturns = n.returns.Table.Changes(epoch.Add(now), n.toldReturns, hubs)
		for _, e := range changes {
			f.toldReturns = append(f.toldReturns, toldReturn{now, e})
		}
	}
}

// tellReturnsOfAll tells a node the returns that the hubs knew sumsAge ago.
func (f *fleet) tellReturnsOfAll(n *node, now time.Duration) {
	for ; n.heardReturns < len(f.toldReturns) && f.toldReturns[n.heardReturns].at <= now-sumsAge; n.heardReturns++ {
		if e := f.toldReturns[n.heardReturns].entry; n.returns != nil {
			n.returns.Table.Add(epoch.Add(now), e, hubs)
		}
	}
}

// countReturn counts the call if its caller returned.
func (r *Report) countReturn(c *call) {
	if !c.returned {
		return
	}
	r.Returned++
	if c.outcome == onTime || c.outcome == late {
		r.Served++
	}
}
