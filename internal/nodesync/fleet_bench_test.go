package nodesync

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"galenatrestle/internal/placement"
	"galenatrestle/internal/replica"
)

// BenchmarkFleet runs a whole fleet in one process, without the transport, with ten replicas a
// node in five availability zones of which a hundredth changes in each second. It reports, after
// the start, what a node of each role sends and receives, what it holds, and how many nodes have
// another hub than the first node computes. Run it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{30, 100, 300, 1000, 2000} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for range b.N {
				m := newFleetModel(size)
				m.run(8 * ticksPerSecond)
				m.reset()
				m.run(4 * ticksPerSecond)
				m.report(b)
			}
		})
	}
}

// fleetModel is a fleet whose nodes call each other in virtual time.
type fleetModel struct {
	nodes     []*testNode
	byAddress map[string]*testNode
	listing   replica.Listing
	random    *rand.Rand
	ticks     int
	// bytes, calls and crossZone are counted since the last reset, the first two by node.
	bytes, calls map[string]int
	crossZone    int
}

func newFleetModel(size int) *fleetModel {
	nodes := startingFleet(size)
	m := &fleetModel{nodes: nodes, byAddress: nodesByAddress(nodes), random: rand.New(rand.NewPCG(1, 1))}
	for i, n := range m.nodes {
		n.options.SumsMaxAge = DefaultSumsMaxAge
		originalSelf := n.options.Self
		share := float32(0.2)
		if i%20 == 0 {
			share = 0.8
		}
		n.options.Self = func() Node {
			self := originalSelf()
			self.ProcessorShare = share
			return self
		}
	}
	m.listing.Revision = 1
	for i := range 10 * size {
		m.listing.Replicas = append(m.listing.Replicas, replica.Replica{
			ID: fmt.Sprintf("i-%010d", i), Upstream: "u", Address: fmt.Sprintf("10.1.64.%d:8400", i%250), AvailabilityZone: fmt.Sprintf("z%d", i%5), Slots: 24,
		})
	}
	m.reset()
	return m
}

func (m *fleetModel) reset() {
	m.bytes, m.calls, m.crossZone = make(map[string]int), make(map[string]int), 0
}

func (m *fleetModel) run(ticks int) {
	for range ticks {
		m.ticks++
		if m.ticks%ticksPerSecond == 0 {
			m.read()
		}
		tick(m.nodes, m.ticks, m.call)
	}
}

// read changes a hundredth of the replicas and gives the listing to the primary hubs. A tenth of
// the entry nodes' requests run at that time.
func (m *fleetModel) read() {
	m.listing.Revision++
	m.listing.Replicas = append([]replica.Replica(nil), m.listing.Replicas...)
	for range len(m.listing.Replicas) / 100 {
		m.listing.Replicas[m.random.IntN(len(m.listing.Replicas))].ID = fmt.Sprintf("i-%010d", m.random.IntN(1e9)+1e6)
	}
	m.listing.Digest = replica.Digest(m.listing.Replicas)
	for _, n := range m.nodes {
		if n.Role() == PrimaryHub || n.Role() == Peer {
			listing := m.listing
			if !n.KeepsWholeListing() {
				listing = n.options.Replicas.Narrow(listing)
			}
			n.options.Replicas.Update(listing, n.now, n.now)
		}
	}
	for _, n := range m.nodes[:min(80, len(m.nodes))] {
		for range 5 {
			n.options.Placer.Choose(time.Now(), "u", &placement.Request{PromptTokens: 900, Shared: []placement.PromptPart{{ID: m.random.Uint64N(2000), Tokens: 400}}})
		}
	}
}

func (m *fleetModel) call(n *testNode, t target) {
	to, ok := m.byAddress[t.address]
	if !ok || to == n {
		return
	}
	size, err := n.callAnother(to, t)
	if err != nil {
		panic(err)
	}
	from, callee := n.options.Self(), to.options.Self()
	for _, name := range []string{from.Name, callee.Name} {
		m.bytes[name] += size
		m.calls[name]++
	}
	if from.AvailabilityZone != callee.AvailabilityZone {
		m.crossZone += size
	}
}

func (m *fleetModel) report(b *testing.B) {
	const seconds = 4
	type sum struct{ nodes, bytes, calls, replicas int }
	byRole := make(map[Role]*sum)
	first := m.nodes[0]
	disagree := 0
	for _, n := range m.nodes {
		s := byRole[n.Role()]
		if s == nil {
			s = &sum{}
			byRole[n.Role()] = s
		}
		self := n.options.Self()
		listing, _ := n.options.Replicas.Latest()
		s.nodes++
		s.bytes += m.bytes[self.Name]
		s.calls += m.calls[self.Name]
		s.replicas += len(listing.Replicas)
		if hubFor(self, n.hubs(n.now)).Name != hubFor(self, first.hubs(first.now)).Name {
			disagree++
		}
	}
	for role, name := range map[Role]string{Member: "member", SecondaryHub: "hub", PrimaryHub: "primary"} {
		if s := byRole[role]; s != nil {
			b.ReportMetric(float64(s.bytes)/float64(s.nodes*seconds*1000), name+"-kB/s")
			b.ReportMetric(float64(s.calls)/float64(s.nodes*seconds), name+"-calls/s")
			b.ReportMetric(float64(s.replicas)/float64(s.nodes), name+"-replicas")
		}
	}
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/float64(len(m.nodes)*1000), "heap-kB/node")
	b.ReportMetric(float64(m.crossZone)/(seconds*1000), "cross-zone-kB/s")
	b.ReportMetric(float64(disagree), "other-hub")
}
