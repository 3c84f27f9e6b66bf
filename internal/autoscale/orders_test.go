package autoscale

import (
	"testing"
	"time"

	"galenatrestle/internal/boottime"
)

// zone returns an availability zone with the given numbers of ready replicas.
func zone(name string, onDemand, reclaimable int) Zone {
	return Zone{Name: name, Ready: map[Kind]int{OnDemand: onDemand, Reclaimable: reclaimable}}
}

func observed(zones ...Zone) *Observation {
	s := scaling(0.2)
	s.Boot = 4 * time.Second
	return &Observation{Upstream: "model", Scaling: *s, Slots: 16, Zones: zones}
}

func mixOf(onDemand, reclaimable int) Mix {
	return Mix{"a": {OnDemand: onDemand, Reclaimable: reclaimable}}
}

// replicasOf returns the number of replicas ordered of the kind, or -1 without an order.
func replicasOf(due []Order, kind Kind) int {
	for _, o := range due {
		if o.Kind == kind {
			return o.Replicas
		}
	}
	return -1
}

func TestOnDemandReplicasStayUntilReplaced(t *testing.T) {
	orders := NewOrders()
	now := boottime.Instant(time.Hour)
	o := observed(zone("a", 30, 0))
	due := orders.Due(now, o, mixOf(1, 45))
	if replicasOf(due, Reclaimable) != 45 || replicasOf(due, OnDemand) != -1 {
		t.Fatalf("ordered %v, want 45 reclaimable replicas and none removed", due)
	}
	orders.RecordSent(now, due[0], 0)
	now = now.Add(time.Second)
	if due := orders.Due(now, o, mixOf(1, 45)); len(due) != 0 {
		t.Errorf("ordered %v a second later, want none before the boot time has passed", due)
	}
	// The maximum of 60 for the zone leaves room for 30 of the 45.
	now = now.Add(3 * time.Second)
	o = observed(zone("a", 30, 30))
	due = orders.Due(now, o, mixOf(1, 45))
	if replicasOf(due, OnDemand) != 1 {
		t.Fatalf("ordered %v, want the on-demand replicas removed: the zone is full", due)
	}
	orders.RecordSent(now, due[0], 30)
	if due := orders.Due(now.Add(time.Second), observed(zone("a", 1, 30)), mixOf(1, 45)); replicasOf(due, Reclaimable) != 45 {
		t.Errorf("ordered %v, want the remaining reclaimable replicas", due)
	}
}

func TestStaleObservationRemovesNothing(t *testing.T) {
	o := observed(zone("a", 30, 60))
	o.Age = maxObservationAge + time.Second
	if due := NewOrders().Due(boottime.Instant(time.Hour), o, mixOf(1, 30)); len(due) != 0 {
		t.Errorf("ordered %v from a stale observation, want none", due)
	}
}

func TestOrderWithoutEffectIsRepeated(t *testing.T) {
	orders := NewOrders()
	now := boottime.Instant(time.Hour)
	order := Order{Pool: Pool{Upstream: "model", AvailabilityZone: "a", Kind: Reclaimable}, Replicas: 45}
	orders.RecordSent(now, order, 0)
	o := observed(zone("a", 1, 20))
	within := now.Add(o.Scaling.Boot + registrationDelay - time.Second)
	if due := orders.Due(within, o, mixOf(1, 45)); replicasOf(due, Reclaimable) != -1 {
		t.Errorf("ordered %v before the effect could show", due)
	}
	if due := orders.Due(within.Add(time.Second), o, mixOf(1, 45)); replicasOf(due, Reclaimable) != 45 {
		t.Errorf("ordered %v, want the order again", due)
	}
}

func TestExhaustedZoneBacksOff(t *testing.T) {
	orders := NewOrders()
	now := boottime.Instant(time.Hour)
	o := observed(zone("a", 0, 0), zone("b", 0, 30), zone("c", 0, 30))
	pool := Pool{Upstream: "model", AvailabilityZone: "a", Kind: Reclaimable}
	orders.RecordRefused(now, Order{Pool: pool, Replicas: 30})
	if exhausted := orders.ExhaustedZones(now.Add(exhaustedBackoff/2), o); !exhausted["a"] || exhausted["b"] {
		t.Errorf("exhausted zones are %v, want a", exhausted)
	}
	if exhausted := orders.ExhaustedZones(now.Add(exhaustedBackoff), o); len(exhausted) != 0 {
		t.Errorf("exhausted zones are %v, want none", exhausted)
	}
}

// TestExhaustedZoneKeepsReplicas guards against removing the remaining replicas of a zone
// that refused to replace crashed ones.
func TestExhaustedZoneKeepsReplicas(t *testing.T) {
	for _, exhausted := range [][]string{{"a"}, {"a", "b", "c"}} {
		orders := NewOrders()
		now := boottime.Instant(time.Hour)
		o := observed(zone("a", 1, 40), zone("b", 1, 44), zone("c", 1, 44))
		for _, name := range exhausted {
			pool := Pool{Upstream: "model", AvailabilityZone: name, Kind: Reclaimable}
			orders.RecordRefused(now, Order{Pool: pool, Replicas: 44})
		}
		mix := wantedMix(60, &o.Scaling, o.zoneNames(), orders.ExhaustedZones(now, o))
		for _, order := range orders.Due(now, o, mix) {
			if order.Kind == Reclaimable && order.Replicas < o.readyIn(order.Pool) {
				t.Errorf("exhausted %v: %d of %d replicas are left in %s", exhausted, order.Replicas, o.readyIn(order.Pool), order.AvailabilityZone)
			}
		}
	}
}

// TestOnDemandReplicasStayWithoutReclaimableCapacity guards against removing on-demand
// replicas from a zone that refused their reclaimable replacements.
func TestOnDemandReplicasStayWithoutReclaimableCapacity(t *testing.T) {
	orders := NewOrders()
	now := boottime.Instant(time.Hour)
	o := observed(zone("a", 30, 0), zone("b", 30, 30), zone("c", 30, 30))
	orders.RecordRefused(now, Order{Pool: Pool{Upstream: "model", AvailabilityZone: "a", Kind: Reclaimable}, Replicas: 44})
	mix := wantedMix(90, &o.Scaling, o.zoneNames(), orders.ExhaustedZones(now, o))
	for _, order := range orders.Due(now, o, mix) {
		if order.AvailabilityZone == "a" && order.Replicas < 30 {
			t.Errorf("%d of 30 replicas are left in a zone without reclaimable capacity", order.Replicas)
		}
	}
}

// TestFluctuatingLoadCausesFewOrders guards against frequent scaling under a fluctuating
// load, as each removed replica loses its cached prompts.
func TestFluctuatingLoadCausesFewOrders(t *testing.T) {
	orders := NewOrders()
	now := boottime.Instant(time.Hour)
	o := observed(zone("a", 20, 0), zone("b", 20, 0), zone("c", 20, 0))
	wanted, sent := 60.0, 0
	for tick := range 600 {
		now = now.Add(reconcileInterval)
		o.Busy = 200 + 150*(tick/20%2)
		wanted = nextCapacity(wanted, o, reconcileInterval)
		mix := wantedMix(wanted, &o.Scaling, o.zoneNames(), nil)
		for _, order := range orders.Due(now, o, mix) {
			sent++
			orders.RecordSent(now, order, o.readyIn(order.Pool))
			for i := range o.Zones {
				if o.Zones[i].Name == order.AvailabilityZone {
					o.Zones[i].Ready[order.Kind] = order.Replicas
				}
			}
		}
	}
	if maxOrders := 5 * 30; sent > maxOrders {
		t.Errorf("%d orders in five minutes, want %d at most", sent, maxOrders)
	}
}
