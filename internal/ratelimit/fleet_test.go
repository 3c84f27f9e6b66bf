package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"galenatrestle/internal/replica"
)

// The bound that is kept, over all nodes: so many times the rate and some more in a window,
// from a while after the replica first named it.
const (
	boundWindow    = 4 * time.Second
	boundFactor    = 1.5
	boundAllowance = 5.0
	boundFrom      = 3 * time.Second
)

// load is requests for replicas of which one names a rate.
type load struct {
	nodes, replicas int
	// perSecond is the requests of all nodes, limit the rate that the replica names.
	perSecond, limit float64
	length           time.Duration
	// killed is when the node that issues the permits ends, and split the time from which
	// half of the nodes can't reach the others; zero: never.
	killed, split time.Duration
}

// way is how nodes keep to the rate.
type way interface {
	// mayGo says whether a request of the node may go to the limited replica.
	mayGo(now time.Duration, node int) bool
}

// epoch is the start of a played load.
var epoch = time.Unix(1_000_000, 0)

const (
	// newsTake is how long it takes until a node hears of a limit, at most.
	newsTake = 600 * time.Millisecond
	// silenceTakes is how long it takes until a node takes another one for gone.
	silenceTakes = 1500 * time.Millisecond
	// callTakes is the time of one way of a call.
	callTakes = time.Millisecond
)

// fleet is nodes with the product's decisions.
type fleet struct {
	load    load
	issuers []*Issuer
	// pausedTill is until when a node asks for no permit, knowsAt when it hears of the limit
	// and missesAt when it takes the killed issuer for gone.
	pausedTill, knowsAt, missesAt []time.Duration
	// asks counts the asks for permits.
	asks int
}

const limitedReplica = "i-1"

func newFleet(l load, random *rand.Rand) *fleet {
	f := &fleet{load: l, pausedTill: make([]time.Duration, l.nodes)}
	for range l.nodes {
		f.issuers = append(f.issuers, NewIssuer())
		f.knowsAt = append(f.knowsAt, time.Duration(random.Int64N(int64(newsTake))))
		f.missesAt = append(f.missesAt, l.killed+time.Duration(random.Int64N(int64(silenceTakes))))
	}
	return f
}

// issuerOf is the node that the other one takes for the issuer: the first one, the second
// where that is known to be gone, and the last one in the other half.
func (f *fleet) issuerOf(now time.Duration, node int) int {
	if f.apart(now) && node >= f.load.nodes/2 {
		return f.load.nodes - 1
	}
	if f.load.killed > 0 && now >= f.missesAt[node] {
		return 1
	}
	return 0
}

func (f *fleet) apart(now time.Duration) bool {
	return f.load.split > 0 && now >= f.load.split+silenceTakes
}

// share is the part of the nodes that an issuer hears.
func (f *fleet) share(now time.Duration) float64 {
	if f.apart(now) {
		return 0.5
	}
	return 1
}

func (f *fleet) mayGo(now time.Duration, node int) bool {
	if now < f.knowsAt[node] {
		return true
	}
	if now < f.pausedTill[node] {
		return false
	}
	grant, answered := f.ask(now+callTakes, node)
	switch {
	case !answered:
		f.pausedTill[node] = now + askTimeout + unansweredPause
	case !grant.Granted:
		f.pausedTill[node] = now + max(grant.RetryAfter, leastPause)
	}
	return grant.Granted
}

// ask is the answer of the node's issuer to an ask that arrives at the time; none comes from
// one that is gone or on the other side.
func (f *fleet) ask(at time.Duration, node int) (Grant, bool) {
	f.asks++
	issuer := f.issuerOf(at, node)
	cut := f.load.split > 0 && at >= f.load.split && (issuer < f.load.nodes/2) != (node < f.load.nodes/2)
	if cut || f.load.killed > 0 && issuer == 0 && at >= f.load.killed {
		return Grant{}, false
	}
	if f.issuerOf(at, issuer) != issuer {
		return Grant{RetryAfter: unansweredPause}, true
	}
	limit := Limit{Replica: limitedReplica, PerSecond: f.load.limit}
	return f.issuers[issuer].Issue(epoch.Add(at), limit, f.share(at)), true
}

// evenParts has each node keep to its part of the rate.
type evenParts struct {
	*fleet
	parts []*rate.Limiter
}

func newEvenParts(l load, random *rand.Rand) way {
	w := &evenParts{fleet: newFleet(l, random)}
	for range l.nodes {
		// They begin at different points of the time for one request.
		part := rate.NewLimiter(rate.Limit(l.limit/float64(l.nodes)), 1)
		part.AllowN(epoch.Add(-time.Duration(random.Float64()*float64(l.nodes)/l.limit*float64(time.Second))), 1)
		w.parts = append(w.parts, part)
	}
	return w
}

func (w *evenParts) mayGo(now time.Duration, node int) bool {
	return now < w.knowsAt[node] || w.parts[node].AllowN(epoch.Add(now), 1)
}

// oneNode has one node alone send to the replica.
type oneNode struct {
	*fleet
	part *rate.Limiter
}

func newOneNode(l load, random *rand.Rand) way {
	return &oneNode{newFleet(l, random), rate.NewLimiter(rate.Limit(l.limit), 1)}
}

func (w *oneNode) mayGo(now time.Duration, node int) bool {
	return now < w.knowsAt[node] || node == w.issuerOf(now, node) && w.part.AllowN(epoch.Add(now), 1)
}

// played is what came of a load.
type played struct {
	// fullest is the most requests in a window, by those allowed; used is the part of the
	// rate that was used.
	fullest, used float64
}

// play sends the load's requests: each would go to any of the replicas.
func play(l load, w way, random *rand.Rand) played {
	var arrivals []time.Duration
	const tick = time.Millisecond
	for now := time.Duration(0); now < l.length; now += tick {
		for due := l.perSecond * tick.Seconds(); due > 0; due-- {
			if random.Float64() < due && random.IntN(l.replicas) == 0 && w.mayGo(now, random.IntN(l.nodes)) && now >= boundFrom {
				arrivals = append(arrivals, now)
			}
		}
	}
	first, most := 0, 0
	for last, at := range arrivals {
		for at-arrivals[first] >= boundWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return played{
		fullest: float64(most) / (boundFactor*l.limit*boundWindow.Seconds() + boundAllowance),
		used:    float64(len(arrivals)) / (l.limit * (l.length - boundFrom).Seconds()),
	}
}

var loads = map[string]load{
	"7 nodes, an engine of 18":           {nodes: 7, replicas: 18, perSecond: 90, limit: 1.2},
	"7 nodes, a plain service of 3":      {nodes: 7, replicas: 3, perSecond: 32, limit: 3},
	"80 nodes, an engine of 90":          {nodes: 80, replicas: 90, perSecond: 460, limit: 1.5},
	"360 nodes, an engine of 2100":       {nodes: 360, replicas: 2100, perSecond: 9900, limit: 1.5},
	"360 nodes, a plain service of 5":    {nodes: 360, replicas: 5, perSecond: 210, limit: 12},
	"360 nodes, much more than is taken": {nodes: 360, replicas: 1, perSecond: 2000, limit: 0.5},
	"360 nodes, the issuer is killed":    {nodes: 360, replicas: 5, perSecond: 210, limit: 12, killed: 10 * time.Second},
	"7 nodes, the issuer is killed":      {nodes: 7, replicas: 3, perSecond: 60, limit: 2, killed: 10 * time.Second},
	"360 nodes, half are cut off":        {nodes: 360, replicas: 5, perSecond: 210, limit: 12, split: 10 * time.Second},
	"8 nodes, half are cut off":          {nodes: 8, replicas: 3, perSecond: 60, limit: 2, split: 10 * time.Second},
}

// Each node's own limit let all of them together send several times what the replica takes.
func TestAllNodesTogetherKeepToTheRate(t *testing.T) {
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			l.length = 40 * time.Second
			for seed := range uint64(4) {
				random := rand.New(rand.NewPCG(seed, 1))
				got := play(l, newFleet(l, random), random)
				t.Logf("seed %d: fullest window %.2f of what is allowed, %.2f of the rate used", seed, got.fullest, got.used)
				if got.fullest > 1 {
					t.Errorf("seed %d: %.2f times what is allowed in a window", seed, got.fullest)
				}
				if got.used == 0 {
					t.Errorf("seed %d: nothing goes to the replica, and nobody learns when it takes more", seed)
				}
			}
		})
	}
}

// BenchmarkWays compares ways to keep to the rate, over four seeds: the fullest window, by
// what is allowed, the part of the rate that is used, and the asks for permits a second.
func BenchmarkWays(b *testing.B) {
	ways := map[string]func(load, *rand.Rand) way{
		"permits":    func(l load, random *rand.Rand) way { return newFleet(l, random) },
		"even parts": newEvenParts,
		"one node":   newOneNode,
	}
	for name, l := range loads {
		for wayName, newWay := range ways {
			b.Run(fmt.Sprintf("%s/%s", name, wayName), func(b *testing.B) {
				l.length = 40 * time.Second
				for b.Loop() {
					var fullest, used, asks float64
					for seed := range uint64(4) {
						random := rand.New(rand.NewPCG(seed, 1))
						w := newWay(l, random)
						got := play(l, w, random)
						fullest, used = max(fullest, got.fullest), used+got.used/4
						if f, ok := w.(*fleet); ok {
							asks += float64(f.asks) / l.length.Seconds() / 4
						}
					}
					b.ReportMetric(asks, "asks/s")
					b.ReportMetric(fullest, "fullest")
					b.ReportMetric(used, "used")
				}
			})
		}
	}
}

func TestAReplicaOfAnotherStartIsNotLimited(t *testing.T) {
	limits := map[string]Limit{"i-1": {Replica: "i-1", StartedAt: 7}}
	for _, test := range []struct {
		r    replica.Replica
		want bool
	}{
		{replica.Replica{ID: "i-1", StartedAt: 7}, true},
		{replica.Replica{ID: "i-1", StartedAt: 9}, false},
		{replica.Replica{ID: "i-2", StartedAt: 7}, false},
	} {
		if got := IsLimited(limits, &test.r); got != test.want {
			t.Errorf("%+v: limited %v", test.r, got)
		}
	}
}
