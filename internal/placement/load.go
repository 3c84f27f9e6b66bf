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
)

// Load is one node's use of one replica.
type Load struct {
	Replica string
	Running int
	// Light is the number of running requests of light classes.
	Light int
	// Prefill is the prompt tokens that are being read.
	Prefill int
	// Tokens is what the running requests take of the replica's memory.
	Tokens int
	// Failures is the node's failure score of the replica.
	Failures float64
}

// peerLoads is what another node told last.
type peerLoads struct {
	loads []Load
	at    time.Time
}

// Loads is this node's use of the replicas, the most used first.
func (p *Placer) Loads(now time.Time) []Load {
	var loads []Load
	for _, u := range p.all() {
		loads = u.loads(now, loads)
	}
	slices.SortFunc(loads, func(a, b Load) int {
		if a.Running != b.Running {
			return b.Running - a.Running
		}
		return strings.Compare(a.Replica, b.Replica)
	})
	return loads[:min(len(loads), maxLoads)]
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
	for id, s := range u.states {
		failures := s.failuresAt(now)
		if s.silence(now) > silenceFrom {
			failures += s.silence(now).Seconds()
		}
		if s.running == 0 && failures < negligibleFailures {
			continue
		}
		loads = append(loads, Load{Replica: id, Running: s.running, Light: s.light, Prefill: s.prefill, Tokens: s.tokens, Failures: failures})
	}
	return loads
}

// SetPeer takes in what another node tells of its load; alive is the number of
// other nodes that serve.
func (p *Placer) SetPeer(node string, loads []Load, alive int, now time.Time) {
	sums := p.sumPeers(node, loads, alive, now)
	for _, u := range p.all() {
		u.setPeers(sums)
	}
}

// sumPeers remembers the node's loads and adds up those of all other nodes that
// are recent. Callers spread over all nodes alike, so that where only some were
// heard of, as in a large fleet, their sum stands for all of them.
func (p *Placer) sumPeers(node string, loads []Load, alive int, now time.Time) map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[node] = peerLoads{loads: loads, at: now}
	sums := make(map[string]Load)
	for name, told := range p.peers {
		if now.Sub(told.at) > peerLoadFor {
			delete(p.peers, name)
			continue
		}
		for _, l := range told.loads {
			sum := sums[l.Replica]
			sum.Running += l.Running
			sum.Light += l.Light
			sum.Prefill += l.Prefill
			sum.Tokens += l.Tokens
			sum.Failures = max(sum.Failures, l.Failures)
			sums[l.Replica] = sum
		}
	}
	if heard := len(p.peers); heard < alive {
		scale(sums, float64(alive)/float64(heard))
	}
	return sums
}

// scale multiplies what is counted.
func scale(sums map[string]Load, by float64) {
	for replica, sum := range sums {
		sum.Running = int(math.Round(by * float64(sum.Running)))
		sum.Light = int(math.Round(by * float64(sum.Light)))
		sum.Prefill = int(math.Round(by * float64(sum.Prefill)))
		sum.Tokens = int(math.Round(by * float64(sum.Tokens)))
		sums[replica] = sum
	}
}

func (u *upstream) setPeers(sums map[string]Load) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, s := range u.states {
		sum := sums[id]
		s.peersRunning, s.peersLight = sum.Running, sum.Light
		s.peersPrefill, s.peersTokens, s.peersFailures = sum.Prefill, sum.Tokens, sum.Failures
	}
}
