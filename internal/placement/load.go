package placement

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
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

// AddUp adds the loads to the sums by replica, nil for none yet, and returns them. The
// highest failure score counts.
func AddUp(sums map[string]Load, loads []Load) map[string]Load {
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
