package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"galenatrestle/internal/config"
)

const (
	stormReplicas = 21
	stormLost     = 7
	stormRate     = 200 // requests a second
	stormSeconds  = 60
	lossAt        = 30 * time.Second
	attemptTime   = time.Second // mean
	silence       = time.Second // until a lost replica's attempt times out
	asideFor      = 5 * time.Second
)

// storm is a run in discrete time in which a third of the replicas is lost.
type storm struct {
	random *rand.Rand
	decide func(time.Time, Attempt) bool
	policy *Policy
	// result is what an attempt at a lost replica meets.
	result Result
	// learns says that a replica is set aside once it failed.
	learns bool
	aside  [stormReplicas]time.Time
	events stormEvents
	// arrivals and added count by second.
	arrivals, added [stormSeconds]int
}

// stormEvent is the start or the end of an attempt.
type stormEvent struct {
	at      time.Duration
	attempt Attempt
	replica int
	ends    bool
}

type stormEvents []stormEvent

func (e stormEvents) Len() int           { return len(e) }
func (e stormEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e stormEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *stormEvents) Push(x any)        { *e = append(*e, x.(stormEvent)) }
func (e *stormEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *storm) run() {
	for at := time.Duration(0); at < stormSeconds*time.Second; {
		at += time.Duration(s.random.ExpFloat64() / stormRate * float64(time.Second))
		attempt := firstFailure("")
		heap.Push(&s.events, stormEvent{at: at, attempt: attempt})
		if second := int(at / time.Second); second < stormSeconds {
			s.arrivals[second]++
		}
	}
	for s.events.Len() > 0 {
		s.step(heap.Pop(&s.events).(stormEvent))
	}
}

func (s *storm) step(e stormEvent) {
	if e.ends {
		s.end(e)
		return
	}
	e.replica = s.choose(e.at)
	e.ends = true
	lost := e.replica < stormLost && e.at >= lossAt
	switch {
	case lost && s.result == NotRun:
		e.attempt.Result = NotRun
	case lost:
		e.attempt.Result = s.result
		e.at += silence
	default:
		e.attempt.Result = ""
		end := e.at + time.Duration(s.random.ExpFloat64()*float64(attemptTime))
		if e.replica < stormLost && e.at < lossAt && end >= lossAt {
			e.attempt.Result = Crashed
			end = lossAt
		}
		e.at = end
	}
	heap.Push(&s.events, e)
}

func (s *storm) choose(at time.Duration) int {
	for {
		replica := s.random.IntN(stormReplicas)
		if !start.Add(at).Before(s.aside[replica]) {
			return replica
		}
	}
}

func (s *storm) end(e stormEvent) {
	now := start.Add(e.at)
	if e.attempt.Result == "" {
		s.policy.RecordSuccess(now, e.attempt.Class, e.attempt.Upstream)
		return
	}
	if s.learns {
		s.aside[e.replica] = now.Add(asideFor)
	}
	if !s.decide(now, e.attempt) {
		return
	}
	if second := int(e.at / time.Second); second < stormSeconds {
		s.added[second]++
	}
	if e.attempt.Result == NotRun {
		e.attempt.NotRunBefore++
	}
	e.attempt.Number++
	e.ends = false
	heap.Push(&s.events, e)
}

// share is the part of added attempts in the seconds after the loss.
func (s *storm) share(seconds int) float64 {
	arrivals, added := 0, 0
	for i := int(lossAt / time.Second); i < int(lossAt/time.Second)+seconds; i++ {
		arrivals += s.arrivals[i]
		added += s.added[i]
	}
	return float64(added) / float64(arrivals)
}

func newStorm(result Result, learns bool) *storm {
	s := &storm{random: rand.New(rand.NewPCG(1, 2)), result: result, learns: learns}
	s.policy = NewPolicy(config.Limits{})
	s.decide = func(now time.Time, a Attempt) bool { return s.policy.Decide(now, a).Action != GiveUp }
	return s
}

// TestZoneLossMakesNoStorm measures the attempts added after the loss of a
// third of the replicas, also where nobody learns of the loss.
func TestZoneLossMakesNoStorm(t *testing.T) {
	const most = 0.10
	for _, result := range []Result{NotRun, TimedOut} {
		for _, learns := range []bool{true, false} {
			measured := newStorm(result, learns)
			measured.run()
			unbounded := newStorm(result, learns)
			unbounded.decide = func(_ time.Time, a Attempt) bool { return a.Number < defaultMaxAttempts }
			unbounded.run()
			t.Logf("%s, learns %v: added in 10 s %.3f, in 30 s %.3f; without a budget %.3f, %.3f",
				result, learns, measured.share(10), measured.share(30), unbounded.share(10), unbounded.share(30))
			if measured.share(30) >= most || measured.share(10) >= most {
				t.Errorf("%s, learns %v: added %.3f in 10 s, %.3f in 30 s", result, learns, measured.share(10), measured.share(30))
			}
			if !learns && unbounded.share(30) < most {
				t.Errorf("the run without a budget adds only %.3f: the check proves nothing", unbounded.share(30))
			}
		}
	}
}
