package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/zonetraffic"
)

const (
	// promptBytesPerToken and answerBytesPerToken are the sizes of requests and answers: 9 KB for a
	// long prompt, 0.5 to 3 KB for an answer.
	promptBytesPerToken = 1
	answerBytesPerToken = 10
)

// ZoneModel is what distance and traffic between zones mean to a scenario; nil: nothing.
type ZoneModel struct {
	// Latency is the one-way network latency between zones.
	Latency time.Duration
	// RequestsPerGigabyte is the number of requests on time that a gigabyte between zones is worth.
	RequestsPerGigabyte float64
	// Traffic decides which requests leave; nil: other zones have the constant cost ZoneCost.
	Traffic  *zonetraffic.Policy
	ZoneCost float64
	// Roaming is the part of the calls that come from another zone than the others of their session.
	Roaming float64
	// Bursts multiply the load of a zone.
	Bursts []ZoneBurst
	// SilentFrom is when all news between nodes end, and HalvesFrom when those between nodes of odd and
	// even numbers do; zero: they do not.
	SilentFrom, HalvesFrom time.Duration
	// Losses take engines of a zone away.
	Losses []ZoneLoss
	// Sample, if not nil, is called every 100 ms for each node.
	Sample func(now time.Duration, node, zone string, p *placement.Placer)
	// OnChange, if not nil, is called for the changes of parts at each node.
	OnChange func(node string, c zonetraffic.Change)
}

// ZoneBurst multiplies the load of a zone.
type ZoneBurst struct {
	Zone     int
	From, To time.Duration
	Times    float64
}

// ZoneLoss takes so many engines of a zone away for a while.
type ZoneLoss struct {
	Zone    int
	At, For time.Duration
	Engines int
}

// loseEngines takes engines of zones away as the scenario says.
func (f *fleet) loseEngines(now time.Duration) {
	if f.scenario.Zones == nil {
		return
	}
	for _, l := range f.scenario.Zones.Losses {
		for i := range l.Engines {
			if l.At == now {
				f.engines[l.Zone+zones*i].crash(now + l.For)
			}
		}
	}
}

// hears reports whether news pass between the nodes.
func (f *fleet) hears(a, b *node, now time.Duration) bool {
	m := f.scenario.Zones
	return m == nil || m.HalvesFrom == 0 || now < m.HalvesFrom || a.index%2 == b.index%2
}

// ZoneTally counts what left the zones.
type ZoneTally struct {
	Asked, Left int
	// LeftFrom counts the requests that left, by zone.
	LeftFrom [zones]int
	Bytes    float64
}

// factor is by what the load of the zone is multiplied.
func (m *ZoneModel) factor(zone int, now time.Duration) float64 {
	times := 1.0
	for _, b := range m.Bursts {
		if b.Zone == zone && now >= b.From && now < b.To {
			times *= b.Times
		}
	}
	return times
}

// load is by what the load of all zones together is multiplied.
func (m *ZoneModel) load(now time.Duration) float64 {
	if m == nil {
		return 1
	}
	sum := 0.0
	for zone := range zones {
		sum += m.factor(zone, now)
	}
	return sum / zones
}

// session draws a session of the class. A session belongs to a zone.
func (f *fleet) session(now time.Duration, class *Class, random *rand.Rand) uint64 {
	m := f.scenario.Zones
	if m == nil {
		return uint64(class.session(random) + 1)
	}
	most := 0.0
	for zone := range zones {
		most = max(most, m.factor(zone, now))
	}
	for {
		session := uint64(f.random.IntN(class.Sessions) + 1)
		if f.random.Float64()*most < m.factor(int(session%zones), now) {
			return session
		}
	}
}

// entry draws the node that the caller uses: one of its zone.
func (f *fleet) entry(c *call) *node {
	m := f.scenario.Zones
	if m == nil {
		return f.nodes[f.random.IntN(len(f.nodes))]
	}
	zone := int(c.session % zones)
	if f.random.Float64() < m.Roaming {
		zone = f.random.IntN(zones)
	}
	inZone := (len(f.nodes) - zone + zones - 1) / zones
	return f.nodes[zone+zones*f.random.IntN(inZone)]
}

// travel notes that the call leaves its node's zone, if it does.
func (f *fleet) travel(n *node, c *call, a *placement.Attempt) {
	m := f.scenario.Zones
	if m == nil {
		return
	}
	f.zoneTally.Asked++
	c.travel = 0
	if a.Replica.AvailabilityZone == n.zone {
		return
	}
	c.travel = 2 * m.Latency
	f.zoneTally.Left++
	f.zoneTally.LeftFrom[n.index%zones]++
	f.zoneTally.Bytes += float64(f.requestBytes(c) + c.answerTokens*answerBytesPerToken)
}

// requestBytes is the size of the call's request.
func (f *fleet) requestBytes(c *call) int {
	if f.scenario.Zones == nil {
		return 0
	}
	return promptBytesPerToken * (c.ownTokens + c.class.SharedTokens + c.class.CommonTokens)
}

// setUpZones has the node decide on traffic between zones as the scenario says.
func (n *node) setUpZones(m *ZoneModel) {
	if m == nil {
		return
	}
	if m.Traffic == nil {
		n.placer.SetZoneCost(m.ZoneCost)
		return
	}
	trips := &zonetraffic.RoundTrips{}
	for range 10 {
		for zone := range zones {
			name := fmt.Sprintf("z%d", zone)
			took := 500 * time.Microsecond
			if name != n.zone {
				took += 2 * m.Latency
			}
			trips.Observe(name, took)
		}
	}
	n.placer.SetZoneTraffic(&placement.ZoneTraffic{Policy: *m.Traffic, RoundTrips: trips, OnChange: func(_, _ string, c zonetraffic.Change) {
		if m.OnChange != nil {
			m.OnChange(n.name, c)
		}
	}})
}

// sample shows the nodes to the scenario, and reports whether news pass between them.
func (f *fleet) sample(now time.Duration) bool {
	m := f.scenario.Zones
	if m == nil {
		return true
	}
	if m.Sample != nil && now%(100*time.Millisecond) == 0 {
		for _, n := range f.nodes {
			m.Sample(now, n.name, n.zone, n.placer)
		}
	}
	return m.SilentFrom == 0 || now < m.SilentFrom
}

// Value is the part of the calls on time, less what the traffic between zones costs.
func (r *Report) Value(requestsPerGigabyte float64) float64 {
	asked := 0
	for _, t := range r.Classes {
		asked += t.Asked
	}
	return r.OnTimeShare() - r.Zones.Bytes/1e9*requestsPerGigabyte/math.Max(float64(asked), 1)
}
