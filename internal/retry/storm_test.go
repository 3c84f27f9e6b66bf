package retry

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"galenatrestle/internal/config"
)

const (
	stormReplicas   = 21
	lostReplicas    = 7
	stormRate       = 200 // requests a second
	stormSeconds    = 60
	lossAt          = 30 * time.Second
	meanAttemptTime = time.Second
	attemptTimeout  = time.Second // of attempts on lost replicas
	ejectionTime    = 5 * time.Second
)

// stormSimulation simulates the loss of a third of the replicas at lossAt.
type stormSimulation struct {
	random *rand.Rand
	decide func(time.Time, Attempt) bool
	policy *Policy
	// result is the result of attempts on lost replicas.
	result Result
	// ejects excludes a replica for ejectionTime after a failure.
	ejects       bool
	ejectedUntil [stormReplicas]time.Time
	events       stormEvents
	// arrivals and added are counts per second.
	arrivals, added [stormSeconds]int
}

type stormEvent struct {
	at      time.Duration
	attempt Attempt
	replica int
	isEnd   bool
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

func (s *stormSimulation) run() {
	for at := time.Duration(0); at < stormSeconds*time.Second; {
		at += time.Duration(s.random.ExpFloat64() / stormRate * float64(time.Second))
		attempt := firstFailure("")
		heap.Push(&s.events, stormEvent{at: at, attempt: attempt})
		if second := int(at / time.Second); second < stormSeconds {
			s.arrivals[second]++
		}
	}
	for s.events.Len() > 0 {
		s.handle(heap.Pop(&s.events).(stormEvent))
	}
}

func (s *stormSimulation) handle(e stormEvent) {
	if e.isEnd {
		s.end(e)
		return
	}
	e.replica = s.choose(e.at)
	e.isEnd = true
	lost := e.replica < lostReplicas && e.at >= lossAt
	switch {
	case lost && s.result == NotRun:
		e.attempt.Result = NotRun
	case lost:
		e.attempt.Result = s.result
		e.at += attemptTimeout
	default:
		e.attempt.Result = ""
		end := e.at + time.Duration(s.random.ExpFloat64()*float64(meanAttemptTime))
		if e.replica < lostReplicas && e.at < lossAt && end >= lossAt {
			e.attempt.Result = Crashed
			end = lossAt
		}
		e.at = end
	}
	heap.Push(&s.events, e)
}

func (s *stormSimulation) choose(at time.Duration) int {
	for {
		replica := s.random.IntN(stormReplicas)
		if !start.Add(at).Before(s.ejectedUntil[replica]) {
			return replica
		}
	}
}

func (s *stormSimulation) end(e stormEvent) {
	now := start.Add(e.at)
	if e.attempt.Result == "" {
		s.policy.RecordSuccess(now, e.attempt.Class, e.attempt.Upstream)
		return
	}
	if s.ejects {
		s.ejectedUntil[e.replica] = now.Add(ejectionTime)
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
	e.isEnd = false
	heap.Push(&s.events, e)
}

// addedFraction is the ratio of added attempts to arrivals after the loss.
func (s *stormSimulation) addedFraction(seconds int) float64 {
	arrivals, added := 0, 0
	for i := int(lossAt / time.Second); i < int(lossAt/time.Second)+seconds; i++ {
		arrivals += s.arrivals[i]
		added += s.added[i]
	}
	return float64(added) / float64(arrivals)
}

func newStormSimulation(result Result, ejects bool) *stormSimulation {
	s := &stormSimulation{random: rand.New(rand.NewPCG(1, 2)), result: result, ejects: ejects}
	s.policy = NewPolicy(config.Limits{})
	s.decide = func(now time.Time, a Attempt) bool { return s.policy.Decide(now, a).Action != GiveUp }
	return s
}

// TestZoneLossCausesNoRetryStorm bounds the attempts added after the loss of a third of the
// replicas, with and without ejection of the lost ones.
func TestZoneLossCausesNoRetryStorm(t *testing.T) {
	const maxFraction = 0.10
	for _, result := range []Result{NotRun, TimedOut} {
		for _, ejects := range []bool{true, false} {
			budgeted := newStormSimulation(result, ejects)
			budgeted.run()
			unbounded := newStormSimulation(result, ejects)
			unbounded.decide = func(_ time.Time, a Attempt) bool { return a.Number < defaultMaxAttempts }
			unbounded.run()
			t.Logf("%s, ejects %v: added in 10 s %.3f, in 30 s %.3f; without a budget %.3f, %.3f",
				result, ejects, budgeted.addedFraction(10), budgeted.addedFraction(30), unbounded.addedFraction(10), unbounded.addedFraction(30))
			if budgeted.addedFraction(30) >= maxFraction || budgeted.addedFraction(10) >= maxFraction {
				t.Errorf("%s, ejects %v: added %.3f in 10 s, %.3f in 30 s", result, ejects, budgeted.addedFraction(10), budgeted.addedFraction(30))
			}
			if !ejects && unbounded.addedFraction(30) < maxFraction {
				t.Errorf("only %.3f added without a budget: the simulation does not exercise the budget", unbounded.addedFraction(30))
			}
		}
	}
}
