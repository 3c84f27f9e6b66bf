package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// callOverhead is the bytes of a unary call beyond its messages; see
// TestCallOverhead.
const callOverhead = 330

const fleetStep = 100 * time.Millisecond

// traffic counts what one node sent and received.
type traffic struct{ sent, received, calls int }

type scheduledEvent struct {
	at time.Time
	do func()
}

// fleet connects tables in memory; it encodes each message and counts its bytes.
type fleet struct {
	t               testing.TB
	now             time.Time
	rng             *rand.Rand
	tables          map[string]*Table
	order           []string
	traffic         map[string]*traffic
	scheduledEvents []scheduledEvent
	lost            func(from, to string) bool
	// blocked stops calls in one direction; responses to the opposite ones still
	// pass.
	blocked func(from, to string) bool
}

func newFleet(t testing.TB) *fleet {
	return &fleet{
		t:       t,
		now:     time.UnixMilli(1_800_000_000_000),
		rng:     rand.New(rand.NewPCG(1, 2)),
		tables:  make(map[string]*Table),
		traffic: make(map[string]*traffic),
		lost:    func(string, string) bool { return false },
		blocked: func(string, string) bool { return false },
	}
}

func nodeName(region string, i int) string { return fmt.Sprintf("%s-vm-%02d", region, i) }

func (f *fleet) add(region string, i int, seeds ...string) *Table {
	name := nodeName(region, i)
	self := Member{
		Name: name, Region: region, AvailabilityZone: fmt.Sprintf("%s-az-%d", region, i%3),
		EntryAddress: fmt.Sprintf("10.1.%d.%d:8080", len(region), i), PeerAddress: name,
		Incarnation: f.now.UnixMilli(), State: StateServing, ConfigRevision: 1,
	}
	table := NewTable(self, Settings{}, rand.New(rand.NewPCG(7, f.rng.Uint64())), f.now)
	for _, s := range seeds {
		table.AddSeed(s)
	}
	if _, ok := f.tables[name]; !ok {
		f.order = append(f.order, name)
	}
	f.tables[name] = table
	f.traffic[name] = &traffic{}
	return table
}

// addRegion starts n nodes of a region whose only seed is the first of them.
func (f *fleet) addRegion(region string, n int) {
	for i := range n {
		f.add(region, i, nodeName(region, 0))
	}
}

func (f *fleet) kill(name string) { delete(f.tables, name) }

func (f *fleet) runFor(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// runUntil returns the time until done returns true.
func (f *fleet) runUntil(limit time.Duration, done func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !done() {
		f.step()
		if f.now.Sub(start) > limit {
			f.t.Fatalf("condition not met within %v", limit)
		}
	}
	return f.now.Sub(start)
}

func (f *fleet) step() {
	f.now = f.now.Add(fleetStep)
	f.runScheduled()
	for _, name := range f.order {
		table, ok := f.tables[name]
		if !ok {
			continue
		}
		for _, call := range table.Tick(f.now) {
			f.send(name, call)
		}
	}
}

func (f *fleet) runScheduled() {
	due := f.scheduledEvents
	f.scheduledEvents = nil
	for _, e := range due {
		if f.now.Before(e.at) {
			f.scheduledEvents = append(f.scheduledEvents, e)
			continue
		}
		e.do()
	}
}

func (f *fleet) schedule(d time.Duration, do func()) {
	f.scheduledEvents = append(f.scheduledEvents, scheduledEvent{at: f.now.Add(d), do: do})
}

func (f *fleet) send(from string, call Call) {
	if f.exchange(from, call) {
		return
	}
	f.schedule(DefaultProbeTimeout, func() { f.handleFailure(from, call) })
}

func (f *fleet) handleFailure(from string, call Call) {
	table, ok := f.tables[from]
	if !ok {
		return
	}
	indirect := table.HandleFailure(f.now, call)
	if len(indirect) == 0 {
		return
	}
	reached := false
	for _, c := range indirect {
		reached = f.probe(from, c) || reached
	}
	f.schedule(2*DefaultProbeTimeout, func() {
		if reached {
			table.HandleIndirectSuccess(f.now, call)
			return
		}
		table.HandleUnreachable(f.now, call)
	})
}

func (f *fleet) probe(from string, c IndirectCall) bool {
	helper, ok := f.tables[c.Address]
	f.recordTraffic(from, c.Address, proto.Size(c.Request), 2)
	if !ok || f.blocked(from, c.Address) || f.lost(from, c.Address) {
		return false
	}
	return f.exchange(c.Address, helper.HandleProbe(f.now, c.Request)) && !f.lost(c.Address, from)
}

func (f *fleet) exchange(from string, call Call) bool {
	request := &membershipv1.SyncRequest{}
	size := f.transcode(call.Request, request)
	to, ok := f.tables[call.Address]
	if !ok || f.blocked(from, call.Address) || f.lost(from, call.Address) {
		f.recordTraffic(from, "", size, 0)
		return false
	}
	answer := to.HandleSync(f.now, request)
	response := &membershipv1.SyncResponse{}
	f.recordTraffic(from, call.Address, size, f.transcode(answer, response))
	if f.lost(call.Address, from) || !call.MatchesResponse(response) {
		return false
	}
	f.tables[from].HandleResponse(f.now, call, response)
	return true
}

// transcode encodes from, decodes it into to and returns the encoded size.
func (f *fleet) transcode(from, to proto.Message) int {
	raw, err := proto.Marshal(from)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := proto.Unmarshal(raw, to); err != nil {
		f.t.Fatal(err)
	}
	return len(raw)
}

// recordTraffic splits the overhead evenly between the two directions.
func (f *fleet) recordTraffic(from, to string, request, response int) {
	outbound, inbound := request+callOverhead/2, response+callOverhead/2
	a := f.traffic[from]
	a.calls++
	a.sent += outbound
	a.received += inbound
	if b, ok := f.traffic[to]; ok {
		b.calls++
		b.received += outbound
		b.sent += inbound
	}
}

func (f *fleet) resetTraffic() {
	for _, t := range f.traffic {
		*t = traffic{}
	}
}

// allSee reports whether all other nodes see the member in the state.
func (f *fleet) allSee(member string, state State) bool {
	for name, table := range f.tables {
		if name != member && stateAt(table, member) != state {
			return false
		}
	}
	return true
}

func stateAt(table *Table, member string) State {
	for _, m := range table.Snapshot().Members() {
		if m.Name == member {
			return m.State
		}
	}
	return StateDead
}

// joined returns a condition for runUntil: each node sees n serving members.
func (f *fleet) joined(n int) func() bool {
	return func() bool {
		for _, table := range f.tables {
			if table.Snapshot().Serving() != n {
				return false
			}
		}
		return true
	}
}

func (f *fleet) anySees(member string, state State) bool {
	for _, table := range f.tables {
		if stateAt(table, member) == state {
			return true
		}
	}
	return false
}

func (f *fleet) counts() Counts {
	var sum Counts
	for _, table := range f.tables {
		c := table.Counts()
		sum.Probes += c.Probes
		sum.ProbeFailures += c.ProbeFailures
		sum.Suspicions += c.Suspicions
		sum.Refutations += c.Refutations
		sum.Deaths += c.Deaths
		sum.FullSyncs += c.FullSyncs
	}
	return sum
}
