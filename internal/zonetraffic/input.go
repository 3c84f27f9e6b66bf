package zonetraffic

import "time"

// MaxInputAge is the age from which the loads of other nodes are not used to send requests away.
const MaxInputAge = time.Second

// Input is what a node knows of the replicas that a flow of like requests may use.
type Input struct {
	// Age is the time since the other nodes' loads arrived; zero if there are no other nodes.
	Age  time.Duration
	Home Zone
	// Away are the other zones, in the order of their names.
	Away []Zone
}

// Zone is the state of a zone's replicas.
type Zone struct {
	Name string
	// Replicas is the number of usable replicas.
	Replicas int
	// WaitMS is the mean marginal cost of one more request there, in milliseconds.
	WaitMS float64
	// FreeSlots is the free part of the slots; 1 if the number of slots is not known.
	FreeSlots float64
	// LeaveMS is what leaving for this zone costs a typical request of the flow.
	LeaveMS float64
}

const (
	// reservedSlots is the part of its slots that a zone keeps free for its own requests.
	reservedSlots = 0.15
	// idleWaitMS is the wait up to which a zone is not busy, whatever the wait elsewhere.
	idleWaitMS = 50.0
	// maxWaitRatio is the part of the sender's wait that the receiver's may reach: with more, both are
	// busy, and what is sent displaces the receiver's own requests. Of a full fleet's requests,
	// 0.035 left with 0.5 and 0.089 with 0.8, for which the value was the same within 0.02.
	maxWaitRatio = 0.5
	// fullWaitMS is the wait from which a zone counts as full.
	fullWaitMS = 500.0
)

// Room returns the part of its capacity, from 0 to 1, that the zone has left for requests of a zone
// with the given wait. All nodes compute it from the loads that they exchange.
func (z *Zone) Room(senderWaitMS float64) float64 {
	if z.Replicas == 0 {
		return 0
	}
	byWait := 1 - z.WaitMS/max(idleWaitMS, maxWaitRatio*senderWaitMS)
	bySlots := (z.FreeSlots - reservedSlots) / (1 - reservedSlots)
	return min(max(min(byWait, bySlots), 0), 1)
}

// full reports whether the zone can serve no more of its own requests in time.
func (z *Zone) full() bool {
	return z.Replicas == 0 || z.WaitMS >= fullWaitMS || z.FreeSlots <= 0
}
