package membership

import (
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/platform"
)

// returnTime is how long the platform's list must call this node live, with no
// sign of leaving from it or from peers, before the node serves again.
const returnTime = time.Minute

// ApplyInstances joins the platform's lagging list of entry VMs, whose
// addresses are peer addresses. It adds seeds and marks members as leaving; it
// never declares a member dead.
func (t *Table) ApplyInstances(now time.Time, list []platform.Instance) {
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.Address] = true
		if instance.Name == t.self.wire.Name {
			t.applySelf(now, instance.State)
			continue
		}
		t.applyInstance(now, instance)
	}
	t.seeds.unlist(listed)
}

func (t *Table) applyInstance(now time.Time, instance platform.Instance) {
	region := t.settings.RegionByZone[instance.AvailabilityZone]
	if region != "" && region != t.self.wire.Region {
		t.regions.learn(region, instance.Name, instance.Address)
		return
	}
	t.seeds.addListed(instance.Name, instance.Address)
	e, ok := t.entries[instance.Name]
	if !ok {
		return
	}
	begins := instance.State == platform.InstanceLeaving && !e.listedLeaving
	e.listedLeaving = instance.State == platform.InstanceLeaving
	if begins && !e.wire.Leaving && e.wire.Liveness != dead {
		t.change(now, e, func(m *membershipv1.Member) { m.Leaving = true })
		t.urgent = true
	}
}

// applySelf follows the list for this node: leaving at once, and back to
// serving once the list has called it live for returnTime, unless the node
// itself has decided to stop.
func (t *Table) applySelf(now time.Time, state platform.InstanceState) {
	if state == platform.InstanceLeaving {
		t.leavingSign = now
		t.setSelfLeaving(now, true)
		return
	}
	if t.stopping || !t.self.wire.Leaving || now.Sub(t.leavingSign) < returnTime {
		return
	}
	t.setSelfLeaving(now, false)
}
