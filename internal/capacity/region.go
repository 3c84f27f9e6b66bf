package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/membership"
)

const (
	tickStep = 100 * time.Millisecond
	// loadWander is how far a load moves in a second, as a part of 1.
	loadWander = 0.05
	maxLoad    = 2
)

// traffic counts calls and bytes; a call counts at both of its ends.
type traffic struct{ bytes, calls int }

// region carries the messages of some membership tables, encoded, in the
// tables' own time. No message is lost.
type region struct {
	now time.Time
	rng *rand.Rand
	// addresses are those of the nodes, by which the maps are keyed.
	addresses []string
	tables    map[string]*membership.Table
	loads     map[string]float64
	spent     map[string]*traffic
}

// newRegion starts as many regions of n nodes each.
func newRegion(regions, n int) *region {
	r := emptyRegion()
	for i := range regions {
		for j := range n {
			r.start(i, j, regionNode(i, j), regionNode(i, 0), regionNode((i+1)%regions, 0))
		}
	}
	return r
}

// newRegionAt starts one region with a node at each peer address.
func newRegionAt(addresses []string) *region {
	r := emptyRegion()
	for i, address := range addresses {
		r.start(0, i, address, addresses[0])
	}
	return r
}

func emptyRegion() *region {
	return &region{
		now: time.UnixMilli(1_800_000_000_000), rng: rand.New(rand.NewPCG(1, 2)),
		tables: make(map[string]*membership.Table), loads: make(map[string]float64),
		spent: make(map[string]*traffic),
	}
}

func regionNode(region, i int) string { return fmt.Sprintf("region-%d-vm-%02d", region, i) }

// start adds a node at the peer address.
func (r *region) start(regionNumber, i int, address string, seeds ...string) {
	self := membership.Member{
		Name: regionNode(regionNumber, i), PeerAddress: address, EntryAddress: fmt.Sprintf("10.%d.0.%d:8080", regionNumber, i),
		Region: fmt.Sprintf("region-%d", regionNumber), AvailabilityZone: fmt.Sprintf("zone-%d-%d", regionNumber, i%3),
		Incarnation: r.now.UnixMilli(), State: membership.StateServing, ConfigRevision: 1,
	}
	table := membership.NewTable(self, membership.Settings{}, rand.New(rand.NewPCG(7, r.rng.Uint64())), r.now)
	for _, seed := range seeds {
		table.AddSeed(seed)
	}
	r.addresses = append(r.addresses, address)
	r.tables[address] = table
	r.spent[address] = &traffic{}
}

// run lets d pass. Once a second each node's load changes.
func (r *region) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(tickStep)
		if r.now.UnixMilli()%1000 == 0 {
			r.wander()
		}
		for _, address := range r.addresses {
			for _, call := range r.tables[address].Tick(r.now) {
				r.carry(address, call)
			}
		}
	}
}

func (r *region) wander() {
	for _, address := range r.addresses {
		load := r.loads[address] + r.rng.NormFloat64()*loadWander
		r.loads[address] = math.Min(math.Max(load, 0), maxLoad)
		r.tables[address].SetStatus(r.now, r.loads[address], 1)
	}
}

// measure runs for d and returns the sum of all nodes.
func (r *region) measure(d time.Duration) (traffic, time.Duration) {
	for _, t := range r.spent {
		*t = traffic{}
	}
	used := cpuOf(func() { r.run(d) })
	var sum traffic
	for _, t := range r.spent {
		sum.bytes += t.bytes
		sum.calls += t.calls
	}
	return sum, used
}

// busiest returns the most bytes that one node sent and received.
func (r *region) busiest() int {
	most := 0
	for _, t := range r.spent {
		most = max(most, t.bytes)
	}
	return most
}

func (r *region) carry(from string, call membership.Call) {
	to, ok := r.tables[call.Address]
	if !ok {
		r.tables[from].HandleFailure(r.now, call)
		return
	}
	request := &membershipv1.SyncRequest{}
	there := copyOver(call.Request, request)
	response := &membershipv1.SyncResponse{}
	back := copyOver(to.HandleSync(r.now, request), response)
	for _, end := range []string{from, call.Address} {
		r.spent[end].bytes += there + back + callFraming
		r.spent[end].calls++
	}
	if call.MatchesResponse(response) {
		r.tables[from].HandleResponse(r.now, call, response)
	}
}

// copyOver encodes and decodes the message and returns its encoded size.
func copyOver(from, to proto.Message) int {
	raw, err := proto.Marshal(from)
	if err != nil {
		panic(err)
	}
	if err := proto.Unmarshal(raw, to); err != nil {
		panic(err)
	}
	return len(raw)
}
