package capacity

import (
	"time"
)

// Times of a membership measurement, in the members' own time.
const (
	settleFor  = 2 * time.Minute
	measureFor = 2 * time.Minute
)

// callFraming is the bytes of one unary call beyond its two messages, with TCP
// and TLS, as membership's own test measures it.
const callFraming = 330

// Membership runs one region of each number of members, whose loads wander, and
// returns the cost a node.
func Membership(fleet Fleet, nodes []int) ([]Slope, error) {
	base := Slope{Role: RoleMembership, Against: "nodes in the region", Target: fleet.NodesPerRegion()}
	bytes, calls, cpu, memory := base, base, base, base
	bytes.Quantity, bytes.Unit = "bytes in and out", "B/s"
	calls.Quantity, calls.Unit = "calls made and answered", "1/s"
	cpu.Quantity, cpu.Unit = "processor time without the link", "core"
	memory.Quantity, memory.Unit = "heap", "B"
	// The first run fills what later ones share.
	newRegion(1, nodes[0]).run(settleFor)
	for _, n := range nodes {
		var r *region
		kept := heapOf(func() *region { r = newRegion(1, n); r.run(settleFor); return r })
		traffic, used := r.measure(measureFor)
		seconds := measureFor.Seconds() * float64(n)
		bytes.add(n, float64(traffic.bytes)/seconds)
		calls.add(n, float64(traffic.calls)/seconds)
		cpu.add(n, used.Seconds()/seconds)
		memory.add(n, kept/float64(n))
	}
	return fitMembership(bytes, calls, cpu, memory)
}

// fitMembership fits what news costs against the logarithm, and the table's
// size against the number of members.
func fitMembership(bytes, calls, cpu, memory Slope) ([]Slope, error) {
	fitted, err := fitOn(Log2, bytes, calls, cpu)
	if err != nil {
		return nil, err
	}
	kept, err := newSlope(memory, Linear)
	return append(fitted, kept), err
}

// membersPerRegion is the size of each region where regions are counted.
const membersPerRegion = 8

// Regions runs several regions, and returns what the busiest node (a relay)
// spends.
func Regions(fleet Fleet, regions []int) ([]Slope, error) {
	worst := Slope{
		Role: RoleMembership, Quantity: "bytes in and out of the busiest node", Unit: "B/s",
		Against: "regions of 8 nodes", Target: float64(fleet.Regions),
	}
	for _, n := range regions {
		r := newRegion(n, membersPerRegion)
		r.run(settleFor)
		r.measure(measureFor)
		worst.add(n, float64(r.busiest())/measureFor.Seconds())
	}
	return fitAll(worst)
}
