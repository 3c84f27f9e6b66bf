package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"galenatrestle/internal/replicaspeed"
)

const (
	// maxLoads bounds the replicas in one node's load report.
	maxLoads = 128
	// maxFleetLoads bounds the replicas in a sum of several nodes' loads.
	maxFleetLoads = 512
)

// Load is one node's load on one replica, or the sum of several nodes'.
type Load struct {
	Replica string
	Running int
	// RunningShort is the number of running requests of classes with short prompts.
	RunningShort int
	// PrefillBacklog is the prompt tokens not yet prefilled.
	PrefillBacklog PrefillBacklog
	// TokensInMemory is the tokens that the running requests take of the replica's memory.
	TokensInMemory int
	// FailureScore is the node's failure score of the replica, plus the seconds for which the
	// replica has been unresponsive.
	FailureScore float64
	// Prefill and Decode are the node's observations of the replica's speed; for a plain service,
	// Prefill is those of its answer time.
	Prefill, Decode replicaspeed.Observed
	// BestPace is the replica's best pace, in milliseconds, if the node has seen it a moment ago; zero: it
	// has not.
	BestPace float64
}

// Loads returns this node's load on the replicas, most used first.
func (p *Placer) Loads(now time.Time) []Load {
	var loads []Load
	for _, u := range p.allUpstreams() {
		loads = u.loads(now, loads)
	}
	return mostUsed(loads, maxLoads)
}

// mostUsed sorts the loads by running requests and truncates the list.
func mostUsed(loads []Load, limit int) []Load {
	slices.SortFunc(loads, func(a, b Load) int {
		if a.Running != b.Running {
			return b.Running - a.Running
		}
		return strings.Compare(a.Replica, b.Replica)
	})
	return loads[:min(len(loads), limit)]
}

func (p *Placer) allUpstreams() []*upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*upstream, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		list = append(list, u)
	}
	return list
}

// ForgetFailures resets the failure scores of all replicas, when the failures turn out to be of this
// node's path to them.
func (p *Placer) ForgetFailures() {
	for _, u := range p.allUpstreams() {
		u.mu.Lock()
		for _, s := range u.all {
			s.failureScore = 0
		}
		u.mu.Unlock()
	}
}

func (u *upstream) loads(now time.Time, loads []Load) []Load {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refreshSpeeds(now)
	for _, s := range u.all {
		failures := s.failureScoreAt(now)
		if unresponsive := s.unresponsiveFor(now); unresponsive > unresponsiveAfter {
			failures += unresponsive.Seconds()
		}
		load := Load{Replica: s.replica.ID, Running: s.running, RunningShort: s.runningShort, PrefillBacklog: s.prefillBacklog, TokensInMemory: s.tokensInMemory, FailureScore: failures}
		load.setSpeeds(now, s)
		if s.running == 0 && failures < negligibleFailures && !load.hasSpeeds() {
			continue
		}
		loads = append(loads, load)
	}
	return loads
}

// SumLoads adds the loads to sums, which is keyed by replica, and returns it; a nil map is
// allocated. Of the failure scores it keeps the highest.
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
		sum.BestPace = minPace(sum.BestPace, l.BestPace)
		sum.Prefill, sum.Decode = sum.Prefill.Plus(l.Prefill), sum.Decode.Plus(l.Decode)
		sums[l.Replica] = sum
	}
	return sums
}

func (l Load) minus(part Load) Load {
	l.Running = max(l.Running-part.Running, 0)
	l.RunningShort = max(l.RunningShort-part.RunningShort, 0)
	l.PrefillBacklog = l.PrefillBacklog.minus(&part.PrefillBacklog)
	l.TokensInMemory = max(l.TokensInMemory-part.TokensInMemory, 0)
	l.Prefill, l.Decode = l.Prefill.Minus(part.Prefill), l.Decode.Minus(part.Decode)
	return l
}

func sumsToList(sums map[string]Load) []Load {
	list := make([]Load, 0, len(sums))
	for _, l := range sums {
		list = append(list, l)
	}
	return mostUsed(list, maxFleetLoads)
}

func scaleLoads(sums map[string]Load, factor float64) {
	for replica, sum := range sums {
		sum.Running = int(math.Round(factor * float64(sum.Running)))
		sum.RunningShort = int(math.Round(factor * float64(sum.RunningShort)))
		for rank, tokens := range sum.PrefillBacklog {
			sum.PrefillBacklog[rank] = int(math.Round(factor * float64(tokens)))
		}
		sum.TokensInMemory = int(math.Round(factor * float64(sum.TokensInMemory)))
		sums[replica] = sum
	}
}
