package placement

import "time"

// peerLoadFor is how long what another node told of its load counts.
const peerLoadFor = time.Second

// peerLoads is what another node told last.
type peerLoads struct {
	loads []Load
	// counted loads are part of this node's GroupLoads.
	counted bool
	at      time.Time
}

// recent says whether the loads still count.
func (l *peerLoads) recent(now time.Time) bool { return now.Sub(l.at) <= peerLoadFor }

// SetPeerLoads takes in what another node tells of its load, counted if this node adds
// up for it; alive is the number of other nodes that serve.
func (p *Placer) SetPeerLoads(node string, loads []Load, counted bool, alive int, now time.Time) {
	p.mu.Lock()
	p.peers[node] = peerLoads{loads: loads, counted: counted, at: now}
	forgetOld(p.peers, now)
	fleetKnown := p.fleetKnown(now)
	p.mu.Unlock()
	if !fleetKnown {
		p.apply(alive, now)
	}
}

// HasFleetLoads says whether one that adds up the loads of all nodes told the sum
// lately. It counts then, and what single nodes tell does not.
func (p *Placer) HasFleetLoads(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleetKnown(now)
}

// fleetKnown is FleetKnown with the lock held.
func (p *Placer) fleetKnown(now time.Time) bool { return now.Sub(p.fleetAt) <= peerLoadFor }

// SetGroupLoads takes in what the nodes use together for which another one adds up.
func (p *Placer) SetGroupLoads(hub string, loads []Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.groups[hub] = peerLoads{loads: loads, at: now}
	forgetOld(p.groups, now)
}

// SetFleetLoads takes in what all nodes use together, of which own is this node's
// part.
func (p *Placer) SetFleetLoads(loads, own []Load, now time.Time) {
	others := SumLoads(nil, loads)
	for _, l := range own {
		if sum, ok := others[l.Replica]; ok {
			others[l.Replica] = sum.minus(l)
		}
	}
	p.mu.Lock()
	p.fleet, p.fleetAt = others, now
	p.mu.Unlock()
	p.apply(0, now)
}

// GroupLoads is what this node and those for which it adds up use together.
func (p *Placer) GroupLoads(now time.Time) []Load {
	return listed(p.groupSum(now))
}

// FleetLoads is what all nodes use together, as far as this node was told.
func (p *Placer) FleetLoads(now time.Time) []Load {
	sums := p.groupSum(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, told := range p.groups {
		if told.recent(now) {
			sums = SumLoads(sums, told.loads)
		}
	}
	return listed(sums)
}

func (p *Placer) groupSum(now time.Time) map[string]Load {
	sums := SumLoads(nil, p.Loads(now))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, told := range p.peers {
		if told.counted && told.recent(now) {
			sums = SumLoads(sums, told.loads)
		}
	}
	return sums
}

// forgetOld drops what was told too long ago.
func forgetOld(told map[string]peerLoads, now time.Time) {
	for name, loads := range told {
		if !loads.recent(now) {
			delete(told, name)
		}
	}
}

// apply has the upstreams count what the other nodes use.
func (p *Placer) apply(alive int, now time.Time) {
	sums := p.others(alive, now)
	for _, u := range p.all() {
		u.setPeers(sums)
	}
}

// others is what the other nodes use: as one that adds it up for this zone has
// told, or else the sum of those that have told it themselves. Callers spread
// over all nodes alike, so that where only some were heard of, as in a large
// fleet, their sum stands for all of them.
func (p *Placer) others(alive int, now time.Time) map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fleetKnown(now) {
		return p.fleet
	}
	var sums map[string]Load
	heard := 0
	for _, told := range p.peers {
		if told.recent(now) {
			sums = SumLoads(sums, told.loads)
			heard++
		}
	}
	if heard > 0 && heard < alive {
		scale(sums, float64(alive)/float64(heard))
	}
	return sums
}

func (u *upstream) setPeers(sums map[string]Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, s := range u.all {
		sum := sums[s.replica.ID]
		s.peersRunning, s.peersLight = sum.Running, sum.RunningShort
		s.peersReading, s.peersTokens, s.peersFailures = sum.PrefillBacklog, sum.TokensInMemory, sum.FailureScore
	}
}

// PeersRunning is the requests that other nodes run on each replica, as this node
// believes, for pages that show its view.
func (p *Placer) PeersRunning(now time.Time) map[string]int {
	running := make(map[string]int)
	for id, l := range p.others(0, now) {
		running[id] = l.Running
	}
	return running
}

// Running is the requests of the upstream that run or wait at its replicas, of all nodes.
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
