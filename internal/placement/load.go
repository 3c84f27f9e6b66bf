package placement

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// peerLoadFor is how long what another node told of its load counts.
	peerLoadFor = time.Second
	// maxLoads bounds the replicas that one node tells of.
	maxLoads = 128
	// maxFleetLoads bounds the replicas of a sum.
	maxFleetLoads = 512
)

// Load is one node's use of one replica.
type Load struct {
	Replica string
	Running int
	// Light is the number of running requests of light classes.
	Light int
	// Reading is the prompt tokens that are not read yet.
	Reading Reading
	// Tokens is what the running requests take of the replica's memory.
	Tokens int
	// Failures is the node's failure score of the replica.
	Failures float64
}

// peerLoads is what another node told last.
type peerLoads struct {
	loads []Load
	// counted loads are part of this node's GroupLoads.
	counted bool
	at      time.Time
}

// recent says whether the loads still count.
func (l *peerLoads) recent(now time.Time) bool { return now.Sub(l.at) <= peerLoadFor }

// Loads is this node's use of the replicas, the most used first.
func (p *Placer) Loads(now time.Time) []Load {
	var loads []Load
	for _, u := range p.all() {
		loads = u.loads(now, loads)
	}
	return mostUsed(loads, maxLoads)
}

// mostUsed cuts the list to the most used replicas.
func mostUsed(loads []Load, most int) []Load {
	slices.SortFunc(loads, func(a, b Load) int {
		if a.Running != b.Running {
			return b.Running - a.Running
		}
		return strings.Compare(a.Replica, b.Replica)
	})
	return loads[:min(len(loads), most)]
}

func (p *Placer) all() []*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		list = append(list, u)
	}
	return list
}

func (u *upstream) loads(now time.Time, loads []Load) []Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, s := range u.all {
		failures := s.failuresAt(now)
		if silence := s.silence(now); silence > silenceFrom {
			failures += silence.Seconds()
		}
		if s.running == 0 && failures < negligibleFailures {
			continue
		}
		loads = append(loads, Load{Replica: s.replica.ID, Running: s.running, Light: s.light, Reading: s.reading, Tokens: s.tokens, Failures: failures})
	}
	return loads
}

// SetPeer takes in what another node tells of its load, counted if this node adds
// up for it; alive is the number of other nodes that serve.
func (p *Placer) SetPeer(node string, loads []Load, counted bool, alive int, now time.Time) {
	p.mu.Lock()
	p.peers[node] = peerLoads{loads: loads, counted: counted, at: now}
	forgetOld(p.peers, now)
	fleetKnown := p.fleetKnown(now)
	p.mu.Unlock()
	if !fleetKnown {
		p.apply(alive, now)
	}
}

// FleetKnown says whether one that adds up the loads of all nodes told the sum
// lately. It counts then, and what single nodes tell does not.
func (p *Placer) FleetKnown(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fleetKnown(now)
}

// fleetKnown is FleetKnown with the lock held.
func (p *Placer) fleetKnown(now time.Time) bool { return now.Sub(p.fleetAt) <= peerLoadFor }

// SetGroup takes in what the nodes use together for which another one adds up.
func (p *Placer) SetGroup(hub string, loads []Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.groups[hub] = peerLoads{loads: loads, at: now}
	forgetOld(p.groups, now)
}

// SetFleet takes in what all nodes use together, of which own is this node's
// part.
func (p *Placer) SetFleet(loads, own []Load, now time.Time) {
	others := addUp(nil, loads)
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
			sums = addUp(sums, told.loads)
		}
	}
	return listed(sums)
}

func (p *Placer) groupSum(now time.Time) map[string]Load {
	sums := addUp(nil, p.Loads(now))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, told := range p.peers {
		if told.counted && told.recent(now) {
			sums = addUp(sums, told.loads)
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
			sums = addUp(sums, told.loads)
			heard++
		}
	}
	if heard > 0 && heard < alive {
		scale(sums, float64(alive)/float64(heard))
	}
	return sums
}

// addUp adds the loads to the sums by replica. The highest failure score counts.
func addUp(sums map[string]Load, loads []Load) map[string]Load {
	if sums == nil {
		sums = make(map[string]Load, len(loads))
	}
	for _, l := range loads {
		sum := sums[l.Replica]
		sum.Replica = l.Replica
		sum.Running += l.Running
		sum.Light += l.Light
		sum.Reading = sum.Reading.plus(&l.Reading)
		sum.Tokens += l.Tokens
		sum.Failures = max(sum.Failures, l.Failures)
		sums[l.Replica] = sum
	}
	return sums
}

// minus takes one node's part out of a sum.
func (l Load) minus(part Load) Load {
	l.Running = max(l.Running-part.Running, 0)
	l.Light = max(l.Light-part.Light, 0)
	l.Reading = l.Reading.minus(&part.Reading)
	l.Tokens = max(l.Tokens-part.Tokens, 0)
	return l
}

// listed is the sums as a list, bounded as one node's.
func listed(sums map[string]Load) []Load {
	list := make([]Load, 0, len(sums))
	for _, l := range sums {
		list = append(list, l)
	}
	return mostUsed(list, maxFleetLoads)
}

// scale multiplies what is counted.
func scale(sums map[string]Load, by float64) {
	for replica, sum := range sums {
		sum.Running = int(math.Round(by * float64(sum.Running)))
		sum.Light = int(math.Round(by * float64(sum.Light)))
		for rank, tokens := range sum.Reading {
			sum.Reading[rank] = int(math.Round(by * float64(tokens)))
		}
		sum.Tokens = int(math.Round(by * float64(sum.Tokens)))
		sums[replica] = sum
	}
}

func (u *upstream) setPeers(sums map[string]Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, s := range u.all {
		sum := sums[s.replica.ID]
		s.peersRunning, s.peersLight = sum.Running, sum.Light
		s.peersReading, s.peersTokens, s.peersFailures = sum.Reading, sum.Tokens, sum.Failures
	}
}

// Others is the requests that other nodes run on each replica, as this node
// believes, for pages that show its view.
func (p *Placer) Others(now time.Time) map[string]int {
	running := make(map[string]int)
	for id, l := range p.others(0, now) {
		running[id] = l.Running
	}
	return running
}
