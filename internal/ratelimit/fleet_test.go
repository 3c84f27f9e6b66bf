package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"galenatrestle/internal/replica"
)

// All nodes together may send boundFactor times the rate plus boundAllowance requests in any
// window of boundWindow, from boundFrom after the first announcement of the rate.
const (
	boundWindow    = 4 * time.Second
	boundFactor    = 1.5
	boundAllowance = 5.0
	boundFrom      = 3 * time.Second
)

// scenario is a load on replicas of which one announces a rate.
type scenario struct {
	nodes, replicas int
	// requestRate is the rate of all nodes' requests, limit the announced rate, both per second.
	requestRate, limit float64
	length             time.Duration
	// issuerKilledAt is when the issuer's process ends, partitionedAt the start of a network
	// partition into halves; zero: never.
	issuerKilledAt, partitionedAt time.Duration
}

// strategy is a way to enforce the rate.
type strategy interface {
	// allow reports whether the node may send a request to the limited replica.
	allow(now time.Duration, node int) bool
}

// epoch is the start of a simulation.
var epoch = time.Unix(1_000_000, 0)

const (
	// maxPropagationTime is the longest time until a node learns of a limit.
	maxPropagationTime = 600 * time.Millisecond
	// maxDetectionTime is the longest time until a node detects the failure of another.
	maxDetectionTime = 1500 * time.Millisecond
	// oneWayLatency is the network latency between nodes.
	oneWayLatency = time.Millisecond
)

// permitStrategy is the strategy under test: permits as issued by Issuer.
type permitStrategy struct {
	scenario scenario
	issuers  []*Issuer
	// By node: pausedUntil is the time before which it requests no permit, learnsAt when it
	// learns of the limit, and detectsAt when it detects that the issuer was killed.
	pausedUntil, learnsAt, detectsAt []time.Duration
	permitRequests                   int
}

const limitedReplica = "i-1"

func newPermitStrategy(s scenario, random *rand.Rand) *permitStrategy {
	f := &permitStrategy{scenario: s, pausedUntil: make([]time.Duration, s.nodes)}
	for range s.nodes {
		f.issuers = append(f.issuers, NewIssuer())
		f.learnsAt = append(f.learnsAt, time.Duration(random.Int64N(int64(maxPropagationTime))))
		f.detectsAt = append(f.detectsAt, s.issuerKilledAt+time.Duration(random.Int64N(int64(maxDetectionTime))))
	}
	return f
}

// issuerOf returns the node that the given node considers the issuer: node 0, or node 1 once
// the given node detects that node 0 was killed. During a partition, nodes in the half without
// node 0 consider the last node the issuer.
func (f *permitStrategy) issuerOf(now time.Duration, node int) int {
	if f.partitioned(now) && node >= f.scenario.nodes/2 {
		return f.scenario.nodes - 1
	}
	if f.scenario.issuerKilledAt > 0 && now >= f.detectsAt[node] {
		return 1
	}
	return 0
}

func (f *permitStrategy) partitioned(now time.Duration) bool {
	return f.scenario.partitionedAt > 0 && now >= f.scenario.partitionedAt+maxDetectionTime
}

// share returns the fraction of the nodes that an issuer reaches.
func (f *permitStrategy) share(now time.Duration) float64 {
	if f.partitioned(now) {
		return 0.5
	}
	return 1
}

func (f *permitStrategy) allow(now time.Duration, node int) bool {
	if now < f.learnsAt[node] {
		return true
	}
	if now < f.pausedUntil[node] {
		return false
	}
	grant, answered := f.requestPermit(now+oneWayLatency, node)
	switch {
	case !answered:
		f.pausedUntil[node] = now + permitTimeout + unansweredPause
	case !grant.Granted:
		f.pausedUntil[node] = now + max(grant.RetryAfter, minPause)
	}
	return grant.Granted
}

// requestPermit returns the issuer's grant for a request that arrives at the given time, and
// false if the issuer is dead or unreachable.
func (f *permitStrategy) requestPermit(at time.Duration, node int) (Grant, bool) {
	f.permitRequests++
	issuer := f.issuerOf(at, node)
	unreachable := f.scenario.partitionedAt > 0 && at >= f.scenario.partitionedAt && (issuer < f.scenario.nodes/2) != (node < f.scenario.nodes/2)
	if unreachable || f.scenario.issuerKilledAt > 0 && issuer == 0 && at >= f.scenario.issuerKilledAt {
		return Grant{}, false
	}
	if f.issuerOf(at, issuer) != issuer {
		return Grant{RetryAfter: unansweredPause}, true
	}
	limit := Limit{Replica: limitedReplica, PerSecond: f.scenario.limit}
	return f.issuers[issuer].Issue(epoch.Add(at), limit, f.share(at)), true
}

// evenSplit gives each node an equal fraction of the rate.
type evenSplit struct {
	*permitStrategy
	limiters []*rate.Limiter
}

func newEvenSplit(s scenario, random *rand.Rand) strategy {
	e := &evenSplit{permitStrategy: newPermitStrategy(s, random)}
	for range s.nodes {
		// The limiters start at random phases.
		limiter := rate.NewLimiter(rate.Limit(s.limit/float64(s.nodes)), 1)
		limiter.AllowN(epoch.Add(-time.Duration(random.Float64()*float64(s.nodes)/s.limit*float64(time.Second))), 1)
		e.limiters = append(e.limiters, limiter)
	}
	return e
}

func (e *evenSplit) allow(now time.Duration, node int) bool {
	return now < e.learnsAt[node] || e.limiters[node].AllowN(epoch.Add(now), 1)
}

// singleSender lets only one node send to the replica.
type singleSender struct {
	*permitStrategy
	limiter *rate.Limiter
}

func newSingleSender(s scenario, random *rand.Rand) strategy {
	return &singleSender{newPermitStrategy(s, random), rate.NewLimiter(rate.Limit(s.limit), 1)}
}

func (s *singleSender) allow(now time.Duration, node int) bool {
	return now < s.learnsAt[node] || node == s.issuerOf(now, node) && s.limiter.AllowN(epoch.Add(now), 1)
}

// simulationResult is the outcome of a simulation.
type simulationResult struct {
	// peak is the largest number of requests in a window, divided by the bound; used is the
	// fraction of the rate that was used.
	peak, used float64
}

// simulate sends the scenario's requests, each to a random replica.
func simulate(s scenario, strat strategy, random *rand.Rand) simulationResult {
	var arrivals []time.Duration
	const tick = time.Millisecond
	for now := time.Duration(0); now < s.length; now += tick {
		for due := s.requestRate * tick.Seconds(); due > 0; due-- {
			if random.Float64() < due && random.IntN(s.replicas) == 0 && strat.allow(now, random.IntN(s.nodes)) && now >= boundFrom {
				arrivals = append(arrivals, now)
			}
		}
	}
	first, largest := 0, 0
	for last, at := range arrivals {
		for at-arrivals[first] >= boundWindow {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return simulationResult{
		peak: float64(largest) / (boundFactor*s.limit*boundWindow.Seconds() + boundAllowance),
		used: float64(len(arrivals)) / (s.limit * (s.length - boundFrom).Seconds()),
	}
}

var scenarios = map[string]scenario{
	"7 nodes, an engine of 18":           {nodes: 7, replicas: 18, requestRate: 90, limit: 1.2},
	"7 nodes, a plain service of 3":      {nodes: 7, replicas: 3, requestRate: 32, limit: 3},
	"80 nodes, an engine of 90":          {nodes: 80, replicas: 90, requestRate: 460, limit: 1.5},
	"360 nodes, an engine of 2100":       {nodes: 360, replicas: 2100, requestRate: 9900, limit: 1.5},
	"360 nodes, a plain service of 5":    {nodes: 360, replicas: 5, requestRate: 210, limit: 12},
	"360 nodes, much more than is taken": {nodes: 360, replicas: 1, requestRate: 2000, limit: 0.5},
	"360 nodes, the issuer is killed":    {nodes: 360, replicas: 5, requestRate: 210, limit: 12, issuerKilledAt: 10 * time.Second},
	"7 nodes, the issuer is killed":      {nodes: 7, replicas: 3, requestRate: 60, limit: 2, issuerKilledAt: 10 * time.Second},
	"360 nodes, half are cut off":        {nodes: 360, replicas: 5, requestRate: 210, limit: 12, partitionedAt: 10 * time.Second},
	"8 nodes, half are cut off":          {nodes: 8, replicas: 3, requestRate: 60, limit: 2, partitionedAt: 10 * time.Second},
}

// Guards against nodes that each respect the rate but exceed it together.
func TestAllNodesTogetherKeepToTheRate(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			s.length = 40 * time.Second
			for seed := range uint64(4) {
				random := rand.New(rand.NewPCG(seed, 1))
				got := simulate(s, newPermitStrategy(s, random), random)
				t.Logf("seed %d: fullest window %.2f of what is allowed, %.2f of the rate used", seed, got.peak, got.used)
				if got.peak > 1 {
					t.Errorf("seed %d: %.2f times the bound in a window", seed, got.peak)
				}
				if got.used == 0 {
					t.Errorf("seed %d: no requests to the replica, so nodes would not learn that it raised its rate", seed)
				}
			}
		})
	}
}

// BenchmarkStrategies compares strategies over four seeds: the peak window relative to the
// bound, the fraction of the rate used, and the permit requests per second.
func BenchmarkStrategies(b *testing.B) {
	strategies := map[string]func(scenario, *rand.Rand) strategy{
		"permits":    func(s scenario, random *rand.Rand) strategy { return newPermitStrategy(s, random) },
		"even parts": newEvenSplit,
		"one node":   newSingleSender,
	}
	for name, s := range scenarios {
		for strategyName, newStrategy := range strategies {
			b.Run(fmt.Sprintf("%s/%s", name, strategyName), func(b *testing.B) {
				s.length = 40 * time.Second
				for b.Loop() {
					var peak, used, permitRequests float64
					for seed := range uint64(4) {
						random := rand.New(rand.NewPCG(seed, 1))
						strat := newStrategy(s, random)
						got := simulate(s, strat, random)
						peak, used = max(peak, got.peak), used+got.used/4
						if f, ok := strat.(*permitStrategy); ok {
							permitRequests += float64(f.permitRequests) / s.length.Seconds() / 4
						}
					}
					b.ReportMetric(permitRequests, "asks/s")
					b.ReportMetric(peak, "fullest")
					b.ReportMetric(used, "used")
				}
			})
		}
	}
}

func TestRestartedReplicaIsNotLimited(t *testing.T) {
	table := newTable()
	table.Observe(limitedResponse(4, 0, 20))
	for _, test := range []struct {
		r    replica.Replica
		want bool
	}{
		{replica.Replica{ID: "i-1", StartedAt: 7}, true},
		{replica.Replica{ID: "i-1", StartedAt: 9}, false},
		{replica.Replica{ID: "i-2", StartedAt: 7}, false},
	} {
		if _, got := table.Current().Of(&test.r); got != test.want {
			t.Errorf("%+v: limited %v", test.r, got)
		}
	}
}
