package placement

import (
	"slices"
	"time"

	"galenatrestle/internal/zonetraffic"
)

const (
	// defaultAnswerBytes is the expected length of an answer until one of the class was received.
	defaultAnswerBytes = 2000.0
	// bytesWeight is the weight of one observation in the average lengths.
	bytesWeight = 0.05
	// maxUsableFailureScore is the failure score up to which a zone counts a replica as usable: one
	// lost connection.
	maxUsableFailureScore = 1.0
	// hashUnit is 2 to the power of -64.
	hashUnit = 1.0 / (1 << 64)
)

// zoneView is what an upstream knows of the traffic between zones; nil: the cost of other zones is a
// constant. Long and short prompts are flows of their own, as they use different replicas.
type zoneView struct {
	*ZoneTraffic
	upstream, home string
	// names are the zones of the available replicas, home first.
	names []string
	flows [2]zoneFlow
	// ordered are the available replicas, those of the home zone first.
	ordered []*replicaState
	// avgAnswerBytes is the average length of answers by class.
	avgAnswerBytes map[string]float64

	// The fields below describe the request that is being placed. leave has the costs of leaving and
	// hold the additional ones for requests that should stay, by the index of the zone.
	leave, hold []float64
	homeUsable  int
	// assigned is the index of the zone in which the home of the shared parts is drawn.
	assigned int
	// homeTokens is the largest number of cached shared tokens in the home zone, for engines that do not
	// copy.
	homeTokens int
	sideBuffer []*replicaState
}

type zoneFlow struct {
	name     string
	flow     zonetraffic.Flow
	avgBytes float64
	// homeUsable is the number of usable replicas in the home zone.
	homeUsable int
}

func newZoneView(t *ZoneTraffic, upstream, home string) *zoneView {
	if t == nil {
		return nil
	}
	v := &zoneView{ZoneTraffic: t, upstream: upstream, home: home, avgAnswerBytes: make(map[string]float64)}
	v.flows[0].name, v.flows[1].name = "short", "long"
	return v
}

// sync indexes the zones of the available replicas, and reorders these so that zones alternate: a side,
// which is a leading or trailing part of them, has about the same part of each zone. All nodes get the
// same order.
func (v *zoneView) sync(available []*replicaState) {
	if v == nil {
		return
	}
	v.names = append(v.names[:0], v.home)
	for _, s := range available {
		if !slices.Contains(v.names, s.replica.AvailabilityZone) {
			v.names = append(v.names, s.replica.AvailabilityZone)
		}
	}
	slices.Sort(v.names[1:])
	for _, s := range available {
		s.zoneIndex = slices.Index(v.names, s.replica.AvailabilityZone)
	}
	places := make([]int, len(v.names))
	for _, s := range available {
		s.placeInZone = places[s.zoneIndex]
		places[s.zoneIndex]++
	}
	slices.SortStableFunc(available, func(a, b *replicaState) int { return a.placeInZone - b.placeInZone })
	v.leave, v.hold = make([]float64, len(v.names)), make([]float64, len(v.names))
	v.ordered = append(v.ordered[:0], available...)
	slices.SortStableFunc(v.ordered, func(a, b *replicaState) int { return min(a.zoneIndex, 1) - min(b.zoneIndex, 1) })
}

// homeFirst returns the available replicas, those of the home zone first: of replicas that have as much
// cached, the first one is where parts are read and copied from.
func (v *zoneView) homeFirst(available []*replicaState) []*replicaState {
	if v == nil {
		return available
	}
	return v.ordered
}

func (v *zoneView) flowOf(long bool) *zoneFlow {
	if long {
		return &v.flows[1]
	}
	return &v.flows[0]
}

// beginZones computes the costs of the zones for the request and returns the replicas among which the
// home of its shared parts is drawn: those of the zone that the request is assigned to, or all of the
// side if that zone has none. The lock is held.
func (u *upstream) beginZones(now time.Time, r *Request, side []*replicaState) []*replicaState {
	v := u.zones
	if v == nil {
		return side
	}
	f := v.flowOf(u.hasLongPrompts(r))
	bytes := v.expectedBytes(r)
	if f.avgBytes == 0 {
		f.avgBytes = bytes
	}
	f.avgBytes += bytesWeight * (bytes - f.avgBytes)
	if f.flow.Due(now) {
		u.stepFlow(now, f, r, side)
	}
	v.homeTokens, v.homeUsable = 0, f.homeUsable
	if !r.CanCopyCache && len(r.Shared) > 0 {
		for _, s := range u.available {
			if s.zoneIndex == 0 {
				v.homeTokens = max(v.homeTokens, s.cache.cachedTokens(now, r.Shared))
			}
		}
	}
	position := u.position(r)
	v.assigned = f.assigned(r, position, v.names)
	for i, zone := range v.names {
		v.leave[i], v.hold[i] = 0, 0
		if i == 0 {
			continue
		}
		v.leave[i] = v.Policy.LeaveMS(v.home, zone, v.RoundTrips.ExtraMS(v.home, zone), bytes)
		if v.homeUsable > 0 && len(r.Avoid) == 0 {
			v.hold[i] = f.flow.HoldMS(zone, position)
		}
	}
	return v.homeSide(now, side)
}

// position returns the request's place in the flow, from 0 to 1. Requests with the same shared parts have
// the same place, so that they leave or stay together.
func (u *upstream) position(r *Request) float64 {
	if len(r.Shared) == 0 {
		return u.rand.Float64()
	}
	return float64(rendezvousHash(r.Shared[len(r.Shared)-1].ID, "zone")) * hashUnit
}

// assigned returns the index of the zone in which the home of the request's shared parts is drawn: one of
// those for which it may leave, or the home zone.
func (f *zoneFlow) assigned(r *Request, position float64, zones []string) int {
	if len(r.Shared) == 0 {
		return 0
	}
	assigned, highest := 0, uint64(0)
	for i, zone := range zones[1:] {
		if !f.flow.Allows(zone, position) {
			continue
		}
		if weight := rendezvousHash(r.Shared[len(r.Shared)-1].ID, zone); weight > highest {
			assigned, highest = i+1, weight
		}
	}
	return assigned
}

// homeSide returns the usable replicas of the side in the zone that the request is assigned to, or all of
// the side if there are none.
func (v *zoneView) homeSide(now time.Time, side []*replicaState) []*replicaState {
	v.sideBuffer = v.sideBuffer[:0]
	for _, s := range side {
		if s.zoneIndex == v.assigned && s.failureScoreAt(now) <= maxUsableFailureScore {
			v.sideBuffer = append(v.sideBuffer, s)
		}
	}
	if len(v.sideBuffer) == 0 {
		return side
	}
	return v.sideBuffer
}

func (v *zoneView) expectedBytes(r *Request) float64 {
	answer, known := v.avgAnswerBytes[r.Class]
	if !known {
		answer = defaultAnswerBytes
	}
	return float64(r.Bytes) + answer
}
