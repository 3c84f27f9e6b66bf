package credit

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	creditv1 "galenatrestle/internal/gen/trestle/credit/v1"
)

// callOverhead is the number of bytes of one unary call beyond its messages.
const callOverhead = 330

const simulationStep = 100 * time.Millisecond

// simulationConfig configures a simulation.
type simulationConfig struct {
	nodes, replicas, limit int
	// models is the number of upstreams to which the replicas are assigned round robin.
	models int
	// perNode is the request rate per node and second, service the mean duration
	// of a request.
	perNode  float64
	service  time.Duration
	settings Settings
	// alone disables messages: each node uses its fair part.
	alone bool
	// skew sends all of tier 0 to the first quarter of the nodes.
	skew bool
}

type job struct {
	tier    int
	model   int
	arrived time.Time
}

// simulatedNode is one node with its queue, running requests, wallet and
// owner.
type simulatedNode struct {
	name    string
	wallet  *Wallet
	owner   *Owner
	queue   []job
	running []int
	bytes   int
	calls   int
}

// simulation runs nodes that share replicas by credits, and counts the encoded
// bytes of each message.
type simulation struct {
	simulationConfig
	now     time.Time
	rng     *rand.Rand
	members []*simulatedNode
	names   []string
	ownerOf []int
	ends    []ending
	started int
	waits   map[int][]float64
	// busy sums the slots in use over the steps.
	busy, steps, over int
}

type ending struct {
	at            time.Time
	node, replica int
}

func newSimulation(size simulationConfig) *simulation {
	m := &simulation{simulationConfig: size, now: start, rng: rand.New(rand.NewPCG(9, 9)), waits: make(map[int][]float64)}
	for i := range size.nodes {
		name := fmt.Sprintf("bp-angyal-vm-%02d", i)
		m.members = append(m.members, &simulatedNode{
			name:    name,
			wallet:  NewWallet(name, size.settings, rand.New(rand.NewPCG(4, uint64(i)))),
			owner:   NewOwner(size.settings),
			running: make([]int, size.replicas),
		})
	}
	for i := range size.replicas {
		name := fmt.Sprintf("tab-llm-%03d", i)
		m.names = append(m.names, name)
		m.ownerOf = append(m.ownerOf, int(xxhash.Sum64String(name)%uint64(size.nodes)))
	}
	return m
}

func (m *simulation) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(simulationStep)
		m.end()
		for i, n := range m.members {
			m.arrive(i, n)
			m.exchange(n)
			m.begin(i, n)
		}
		m.observe()
	}
}

func (m *simulation) end() {
	m.ends = slices.DeleteFunc(m.ends, func(e ending) bool {
		if m.now.Before(e.at) {
			return false
		}
		m.members[e.node].running[e.replica]--
		return true
	})
}

// arrive adds the step's Poisson arrivals, a fifth of them in tier 0 and the rest
// in tier 3.
func (m *simulation) arrive(i int, n *simulatedNode) {
	rates := map[int]float64{0: m.perNode / 5, 3: m.perNode * 4 / 5}
	if m.skew && i < m.nodes/4 {
		rates[0] *= 4
	} else if m.skew {
		rates[0] = 0
	}
	for _, tier := range []int{0, 3} {
		for range m.poisson(rates[tier] * simulationStep.Seconds()) {
			n.queue = append(n.queue, job{tier: tier, model: m.rng.IntN(m.models), arrived: m.now})
		}
	}
	slices.SortStableFunc(n.queue, func(a, b job) int { return cmp.Compare(a.tier, b.tier) })
	if len(n.queue) > 200 {
		n.queue = n.queue[:200]
	}
}

func (m *simulation) poisson(mean float64) int {
	n, p, limit := 0, m.rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= m.rng.Float64()
	}
	return n
}

func (m *simulation) needs(n *simulatedNode) []Need {
	needs := make([]Need, m.models)
	for i := range needs {
		needs[i].Upstream = fmt.Sprint(i)
	}
	for _, j := range n.queue {
		need := &needs[j.model]
		if need.Waiting == 0 {
			need.Tier = j.tier
			need.Slack = j.arrived.Add(time.Minute).Sub(m.now)
		}
		if j.tier == need.Tier {
			need.Waiting++
		} else {
			need.Rest++
		}
	}
	for i, name := range m.names {
		need := &needs[i%m.models]
		need.Replicas = append(need.Replicas, ReplicaNeed{
			Name: name, Owner: m.members[m.ownerOf[i]].name, Limit: m.limit, Running: n.running[i],
		})
	}
	return needs
}

func (m *simulation) exchange(n *simulatedNode) {
	if m.alone {
		return
	}
	asks := n.wallet.Plan(m.now, m.needs(n))
	for _, to := range m.members {
		list, ok := asks[to.name]
		if !ok {
			continue
		}
		request := &creditv1.AskRequest{Node: n.name, Asks: asksToWire(list)}
		grants := to.owner.Handle(m.now, n.name, m.nodes, asksFromWire(request.Asks))
		response := &creditv1.AskResponse{Grants: grantsToWire(grants)}
		if to != n {
			bytes := proto.Size(request) + proto.Size(response) + callOverhead
			n.bytes += bytes
			to.bytes += bytes
			n.calls++
		}
		n.wallet.Apply(m.now, grantsFromWire(response.Grants))
	}
}

// begin starts queued requests within the allowances, on the replica with the
// most free slots.
func (m *simulation) begin(i int, n *simulatedNode) {
	if len(n.queue) == 0 {
		return
	}
	allowances := m.allowances(n)
	full := make([]bool, m.models)
	n.queue = slices.DeleteFunc(n.queue, func(j job) bool {
		if full[j.model] {
			return false
		}
		best, room := -1, 0
		for r := j.model; r < m.replicas; r += m.models {
			if free := allowances[m.names[r]] - n.running[r]; free > room {
				best, room = r, free
			}
		}
		if best < 0 {
			full[j.model] = true
			return false
		}
		n.running[best]++
		m.started++
		m.waits[j.tier] = append(m.waits[j.tier], m.now.Sub(j.arrived).Seconds())
		took := time.Duration(m.rng.ExpFloat64() * float64(m.service))
		m.ends = append(m.ends, ending{at: m.now.Add(took), node: i, replica: best})
		return true
	})
}

func (m *simulation) allowances(n *simulatedNode) map[string]int {
	if m.alone {
		all := make(map[string]int)
		for _, name := range m.names {
			all[name] = FairPart(m.limit, m.nodes)
		}
		return all
	}
	all := make(map[string]int)
	for _, need := range m.needs(n) {
		maps.Copy(all, n.wallet.Allowances(m.now, need, m.nodes))
	}
	return all
}

func (m *simulation) observe() {
	m.steps++
	for r := range m.names {
		sum := 0
		for _, n := range m.members {
			sum += n.running[r]
		}
		m.busy += sum
		if sum > m.limit {
			m.over++
		}
	}
}

func (m *simulation) reset() {
	m.started, m.busy, m.steps, m.over = 0, 0, 0, 0
	m.waits = make(map[int][]float64)
	for _, n := range m.members {
		n.bytes, n.calls = 0, 0
	}
}

// figures are the results of a simulation.
type figures struct {
	bytesPerSecond, worst, callsPerSecond, bytesPerStart float64
	// wait0 is the 99th percentile of tier 0 waits; all waits are in seconds.
	wait0, mean0, mean3 float64
	// busy is the fraction of slots in use; over is the fraction of replica steps
	// above the limit.
	busy, over float64
}

func (m *simulation) measure(warm, d time.Duration) figures {
	m.run(warm)
	m.reset()
	m.run(d)
	var f figures
	for _, n := range m.members {
		rate := float64(n.bytes) / d.Seconds()
		f.bytesPerSecond += rate / float64(m.nodes)
		f.worst = max(f.worst, rate)
		f.callsPerSecond += float64(n.calls) / d.Seconds() / float64(m.nodes)
		f.bytesPerStart += float64(n.bytes) / 2 / float64(max(m.started, 1))
	}
	f.wait0, f.mean0, f.mean3 = percentile(m.waits[0], 0.99), mean(m.waits[0]), mean(m.waits[3])
	f.busy = float64(m.busy) / float64(m.steps*m.replicas*m.limit)
	f.over = float64(m.over) / float64(m.steps*m.replicas)
	return f
}

func percentile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}
