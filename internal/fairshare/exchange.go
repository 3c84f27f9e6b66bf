package fairshare

import "time"

// These methods are those of package placement for loads: package nodesync sends what they return.

// OwnUse returns this node's use, to send to another node.
func (s *Sharing) OwnUse(now time.Time) Sums { return s.ownUse(now).largest() }

// OthersUse returns the use of all other nodes as they reported it, and its age.
func (s *Sharing) OthersUse(now time.Time) (Sums, time.Duration) { return s.reports.others(now) }

// SetPeer records the use of another node; inGroup if this node adds up that node's use.
func (s *Sharing) SetPeer(node string, sums Sums, inGroup bool, now time.Time) {
	s.reports.set(s.reports.peers, node, report{sums: sums, inGroup: inGroup, receivedAt: now})
	s.redivide(now)
}

// SetGroup records the summed use of another group. hub is the node that adds it up; remote means that
// it is in another availability zone.
func (s *Sharing) SetGroup(hub string, remote bool, sums Sums, now time.Time) {
	s.reports.set(s.reports.groups, "hub/"+hub, report{sums: sums, remote: remote, receivedAt: now})
}

// SetZone records the summed use of the nodes of another availability zone, or of all other zones if
// the zone is empty.
func (s *Sharing) SetZone(zone string, sums Sums, now time.Time) {
	s.reports.set(s.reports.groups, "zone/"+zone, report{sums: sums, remote: true, receivedAt: now})
}

// SetFleet records the summed use of all nodes. own is this node's part of it.
func (s *Sharing) SetFleet(sums, own Sums, now time.Time) {
	received := report{sums: sums.minus(own), receivedAt: now}
	s.reports.mu.Lock()
	s.reports.fleet = received
	s.reports.mu.Unlock()
	s.redivide(now)
}

// redivide divides the upstreams by the new reports.
func (s *Sharing) redivide(now time.Time) {
	for _, u := range s.upstreams.Range {
		u := u.(*upstream)
		u.mu.Lock()
		if now.Sub(u.dividedAt) >= divisionInterval {
			u.divide(now, s)
		}
		u.mu.Unlock()
	}
}

// GroupUse returns the summed use of this node and the nodes that it adds up.
func (s *Sharing) GroupUse(now time.Time) Sums { return s.groupUse(now).largest() }

// ZoneUse returns the summed use of this node's group and the other groups in its availability zone.
func (s *Sharing) ZoneUse(now time.Time) Sums {
	return s.reports.sum(s.groupUse(now), s.reports.groups, now, func(r *report) bool { return !r.remote }).largest()
}

// RemoteUse returns the summed use of the nodes of other availability zones.
func (s *Sharing) RemoteUse(now time.Time) Sums {
	return s.reports.sum(nil, s.reports.groups, now, func(r *report) bool { return r.remote }).largest()
}

// FleetUse returns the summed use of this node's group and the other groups.
func (s *Sharing) FleetUse(now time.Time) Sums {
	return s.reports.sum(s.groupUse(now), s.reports.groups, now, func(*report) bool { return true }).largest()
}

func (s *Sharing) groupUse(now time.Time) Sums {
	return s.reports.sum(s.ownUse(now), s.reports.peers, now, func(r *report) bool { return r.inGroup })
}
