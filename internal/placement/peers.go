package placement

import "time"

// peerLoadTTL is how long a load report from another node stays valid.
const peerLoadTTL = time.Second

// peerLoads is the last load report of another node.
type peerLoads struct {
	loads []Load
	// inGroup loads are included in this node's GroupLoads.
	inGroup bool
	// remote loads are those of nodes in other availability zones.
	remote     bool
	receivedAt time.Time
}

func (l *peerLoads) recent(now time.Time) bool { return now.Sub(l.receivedAt) <= peerLoadTTL }

// SetPeerLoads records another node's load report; inGroup if this node aggregates that node's
// loads. aliveNodes is the number of other nodes that serve.
func (p *Placer) SetPeerLoads(node string, loads []Load, inGroup bool, aliveNodes int, now time.Time) {
	p.mu.Lock()
	for i := range loads {
		loads[i].Prefill, loads[i].Decode = loads[i].Prefill.BoundedNode(), loads[i].Decode.BoundedNode()
	}
	p.peers[node] = peerLoads{loads: loads, inGroup: inGroup, receivedAt: now}
	dropExpired(p.peers, now)
	hasFleetLoads := p.hasFleetLoads(now)
	p.mu.Unlock()
	if !hasFleetLoads {
		p.applyPeerLoads(aliveNodes, now)
	}
}

// HasFleetLoads reports whether a recent sum of all nodes' loads was received. While there is
// one, it is used instead of the reports of single nodes.
func (p *Placer) HasFleetLoads(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasFleetLoads(now)
}

// hasFleetLoads is HasFleetLoads with the lock held.
func (p *Placer) hasFleetLoads(now time.Time) bool { return now.Sub(p.fleetLoadsAt) <= peerLoadTTL }

// SetGroupLoads records the summed loads of another group. hub is the node that aggregates them;
// remote means that it is in another availability zone.
func (p *Placer) SetGroupLoads(hub string, remote bool, loads []Load, now time.Time) {
	p.setGroup("hub/"+hub, peerLoads{loads: loads, remote: remote, receivedAt: now})
}

// SetZoneLoads records the summed loads of the nodes of another availability zone, or of all
// other zones if the zone is empty.
func (p *Placer) SetZoneLoads(zone string, loads []Load, now time.Time) {
	p.setGroup("zone/"+zone, peerLoads{loads: loads, remote: true, receivedAt: now})
}

func (p *Placer) setGroup(name string, report peerLoads) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.groups[name] = report
	dropExpired(p.groups, report.receivedAt)
}

// SetFleetLoads records the summed loads of all nodes. own is this node's part of them.
func (p *Placer) SetFleetLoads(loads, own []Load, now time.Time) {
	others := SumLoads(nil, loads)
	for _, l := range own {
		if sum, ok := others[l.Replica]; ok {
			others[l.Replica] = sum.minus(l)
		}
	}
	p.mu.Lock()
	p.fleetLoads, p.fleetLoadsAt = others, now
	p.mu.Unlock()
	p.applyPeerLoads(0, now)
}

// GroupLoads returns the summed loads of this node and the nodes that it aggregates.
func (p *Placer) GroupLoads(now time.Time) []Load {
	return sumsToList(p.sumGroupLoads(now))
}

// ZoneLoads returns the summed loads of this node's group and of the other groups in its
// availability zone with a recent report.
func (p *Placer) ZoneLoads(now time.Time) []Load {
	return sumsToList(p.addGroups(p.sumGroupLoads(now), now, func(report *peerLoads) bool { return !report.remote }))
}

// RemoteLoads returns the summed loads of the nodes of other availability zones.
func (p *Placer) RemoteLoads(now time.Time) []Load {
	return sumsToList(p.addGroups(nil, now, func(report *peerLoads) bool { return report.remote }))
}

// FleetLoads returns the summed loads of this node's group and of the other groups with a
// recent report.
func (p *Placer) FleetLoads(now time.Time) []Load {
	return sumsToList(p.addGroups(p.sumGroupLoads(now), now, func(*peerLoads) bool { return true }))
}

// addGroups adds the loads of the other groups that have a recent report and are accepted.
func (p *Placer) addGroups(sums map[string]Load, now time.Time, accept func(*peerLoads) bool) map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, report := range p.groups {
		if report.recent(now) && accept(&report) {
			sums = SumLoads(sums, report.loads)
		}
	}
	return sums
}

func (p *Placer) sumGroupLoads(now time.Time) map[string]Load {
	sums := SumLoads(nil, p.Loads(now))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, report := range p.peers {
		if report.inGroup && report.recent(now) {
			sums = SumLoads(sums, report.loads)
		}
	}
	return sums
}

func dropExpired(reports map[string]peerLoads, now time.Time) {
	for name, loads := range reports {
		if !loads.recent(now) {
			delete(reports, name)
		}
	}
}

func (p *Placer) applyPeerLoads(aliveNodes int, now time.Time) {
	sums := p.sumPeerLoads(aliveNodes, now)
	for _, u := range p.allUpstreams() {
		u.setPeerSums(sums, now)
	}
}

// sumPeerLoads returns the other nodes' summed loads: the fleet sum if there is a recent one,
// otherwise the sum of the recent reports. If only some of the aliveNodes have reported, the sum
// is scaled up, assuming that clients spread their requests evenly over the nodes.
func (p *Placer) sumPeerLoads(aliveNodes int, now time.Time) map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasFleetLoads(now) {
		return p.fleetLoads
	}
	var sums map[string]Load
	reporting := 0
	for _, report := range p.peers {
		if report.recent(now) {
			sums = SumLoads(sums, report.loads)
			reporting++
		}
	}
	if reporting > 0 && reporting < aliveNodes {
		scaleLoads(sums, float64(aliveNodes)/float64(reporting))
	}
	return sums
}

func (u *upstream) setPeerSums(sums map[string]Load, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peersAt = now
	for _, s := range u.all {
		sum := sums[s.replica.ID]
		s.peersRunning, s.peersRunningShort = sum.Running, sum.RunningShort
		s.peersPrefillBacklog, s.peersTokensInMemory, s.peersFailureScore = sum.PrefillBacklog, sum.TokensInMemory, sum.FailureScore
		s.speed.SetPeers(sum.Prefill, sum.Decode)
		s.bestPace.Observe(now, sum.BestPace)
	}
}

// PeersRunning returns the number of requests that other nodes run on each replica, as
// reported to this node.
func (p *Placer) PeersRunning(now time.Time) map[string]int {
	running := make(map[string]int)
	for id, l := range p.sumPeerLoads(0, now) {
		running[id] = l.Running
	}
	return running
}

// Running returns the number of the upstream's requests at its replicas, from all nodes.
func (p *Placer) Running(name string) int {
	u := p.upstream(name)
	u.mu.Lock()
	defer u.mu.Unlock()
	running := 0
	for _, s := range u.all {
		running += s.running + s.peersRunning
	}
	return running
}
