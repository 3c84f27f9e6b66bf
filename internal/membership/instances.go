package membership

import (
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/platform"
)

// resumeDelay is the shortest time between the last report that this node is leaving
// and its return to serving. The platform's list lags, so one live state is not enough.
const resumeDelay = time.Minute

// ApplyInstances applies the platform's list of entry VMs, whose addresses are peer
// addresses. The list lags, so it adds seeds and marks members as leaving, but
// never as dead.
func (t *Table) ApplyInstances(now time.Time, list []platform.Instance) {
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		listed[instance.Address] = true
		if instance.Name == t.self.record.Name {
			t.applySelf(now, instance.State)
			continue
		}
		t.applyInstance(now, instance)
	}
	t.seeds.updateListed(listed)
}

func (t *Table) applyInstance(now time.Time, instance platform.Instance) {
	region := t.settings.RegionByZone[instance.AvailabilityZone]
	if region != "" && region != t.self.record.Region {
		t.regions.addContact(region, instance.Name, instance.Address)
		return
	}
	t.seeds.addListed(instance.Name, instance.Address)
	e, ok := t.entries[instance.Name]
	if !ok {
		return
	}
	startsLeaving := instance.State == platform.InstanceLeaving && !e.listedLeaving
	e.listedLeaving = instance.State == platform.InstanceLeaving
	if startsLeaving && !e.record.Leaving && e.record.Liveness != dead {
		t.updateMember(now, e, func(m *membershipv1.Member) { m.Leaving = true })
		t.pushPending = true
	}
}

// applySelf applies the listed state of this node. It marks the node as leaving at
// once, but clears that only after resumeDelay, and not between Leave and CancelLeave.
func (t *Table) applySelf(now time.Time, state platform.InstanceState) {
	if state == platform.InstanceLeaving {
		t.lastLeavingReport = now
		t.setSelfLeaving(now, true)
		return
	}
	if t.leaveRequested || !t.self.record.Leaving || now.Sub(t.lastLeavingReport) < resumeDelay {
		return
	}
	t.setSelfLeaving(now, false)
}
