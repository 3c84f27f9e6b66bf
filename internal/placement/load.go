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
	// RunningShort is the number of running requests of light classes.
	RunningShort int
	// PrefillBacklog is the prompt tokens that are not read yet.
	PrefillBacklog PrefillBacklog
	// TokensInMemory is what the running requests take of the replica's memory.
	TokensInMemory int
	// FailureScore is the node's failure score of the replica.
	FailureScore float64
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
		loads = append(loads, Load{Replica: s.replica.ID, Running: s.running, RunningShort: s.light, PrefillBacklog: s.reading, TokensInMemory: s.tokens, FailureScore: failures})
	}
	return loads
}

// SumLoads adds the loads to the sums by replica, nil for none yet, and returns them. The
// highest failure score counts.
func SumLoads(sums map[string]Load, loads []Load) map[string]Load {
	if sums == nil {
		sums = make(map[string]Load, len(loads))
	}
	for _, l := range loads {
		sum := sums[l.Replica]
		sum.Replica = l.Replica
		sum.Running += l.Running
		sum.RunningShort += l.RunningShort
		sum.PrefillBacklog = sum.PrefillBacklog.plus(&l.PrefillBacklog)
		sum.TokensInMemory += l.TokensInMemory
		sum.FailureScore = max(sum.FailureScore, l.FailureScore)
		sums[l.Replica] = sum
	}
	return sums
}

// minus takes one node's part out of a sum.
func (l Load) minus(part Load) Load {
	l.Running = max(l.Running-part.Running, 0)
	l.RunningShort = max(l.RunningShort-part.RunningShort, 0)
	l.PrefillBacklog = l.PrefillBacklog.minus(&part.PrefillBacklog)
	l.TokensInMemory = max(l.TokensInMemory-part.TokensInMemory, 0)
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
		sum.RunningShort = int(math.Round(by * float64(sum.RunningShort)))
		for rank, tokens := range sum.PrefillBacklog {
			sum.PrefillBacklog[rank] = int(math.Round(by * float64(tokens)))
		}
		sum.TokensInMemory = int(math.Round(by * float64(sum.TokensInMemory)))
		sums[replica] = sum
	}
}
