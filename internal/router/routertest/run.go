package routertest

import (
	"math/rand/v2"
	"strconv"
	"time"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

const (
	tick = 10 * time.Millisecond
	// reportEvery and reportLag are those of the engines' load reports.
	reportEvery = time.Second
	reportLag   = time.Second
	// stragglerFactor is how much slower a straggler is.
	stragglerFactor = 10
)

// run is a scenario under way.
type run struct {
	scenario Scenario
	engines  map[string]*engine
	order    []*engine
	deciders []decider
	jobs     map[string]*job
	pending  []*job
	reports  []lateReport
	outcome  Outcome
	moved    []*job
}

type lateReport struct {
	due     time.Time
	replica string
	load    router.LoadReport
}

// Run carries out the scenario and returns what it measured.
func Run(s Scenario) Outcome {
	r := newRun(s)
	for now := start; len(r.pending)+len(r.jobs) > 0; now = now.Add(tick) {
		r.step(now)
	}
	return r.outcome
}

func newRun(s Scenario) *run {
	r := &run{scenario: s, engines: make(map[string]*engine), jobs: make(map[string]*job)}
	var replicas []router.Replica
	for i := range s.Replicas {
		e := &engine{name: "replica-" + strconv.Itoa(i), slow: 1}
		r.engines[e.name] = e
		r.order = append(r.order, e)
		replicas = append(replicas, router.Replica{Name: e.name, Slots: s.Slots})
	}
	r.pending = arrivals(s)
	r.outcome.Capacity = float64(s.Replicas) * Knee / tokenTime.Seconds() * s.Duration.Seconds()
	for _, p := range profiles {
		r.outcome.Classes = append(r.outcome.Classes, ClassOutcome{Name: p.class.Name, Refused: make(map[refusal.Reason]int), longest: p.class.GiveUpAfter.Std().Seconds()})
	}
	if s.Clairvoyant {
		r.deciders = []decider{newClairvoyant(r)}
		return r
	}
	for i := range s.Pools {
		r.deciders = append(r.deciders, router.NewPool(router.Options{
			Upstream: "llm", Classes: classes(), Replicas: replicas, Disabled: s.Disabled,
			Rand: rand.New(rand.NewPCG(s.Seed, uint64(i)+2)),
		}))
	}
	return r
}

func (r *run) step(now time.Time) {
	r.straggle(now.Sub(start))
	r.report(now)
	r.advance(now)
	r.cutOff(now)
	r.submit(now)
	for _, d := range r.deciders {
		r.apply(now, d.Decide(now))
	}
}

// straggle makes the scenario's stragglers slow while they are so.
func (r *run) straggle(elapsed time.Duration) {
	s := &r.scenario
	slow := elapsed >= s.StragglersFrom && (s.StragglersUntil == 0 || elapsed < s.StragglersUntil)
	for _, e := range r.order[:s.Stragglers] {
		e.slow = 1
		if slow {
			e.slow = stragglerFactor
		}
	}
}

// report takes the engines' reports and delivers those that are due.
func (r *run) report(now time.Time) {
	if now.Sub(start)%reportEvery == 0 {
		for _, e := range r.order {
			r.reports = append(r.reports, lateReport{due: now.Add(reportLag), replica: e.name, load: e.load(now)})
		}
	}
	for len(r.reports) > 0 && !r.reports[0].due.After(now) {
		for _, d := range r.deciders {
			d.RecordLoad(now, r.reports[0].replica, r.reports[0].load)
		}
		r.reports = r.reports[1:]
	}
}

func (r *run) decider(j *job) decider {
	return r.deciders[j.pool%len(r.deciders)]
}

func (r *run) advance(now time.Time) {
	r.moved = r.moved[:0]
	for _, e := range r.order {
		r.moved = e.advance(tick, r.moved)
	}
	for _, j := range r.moved {
		r.tell(now, j)
	}
}

// tell passes new tokens on to the job's pool.
func (r *run) tell(now time.Time, j *job) {
	d := r.decider(j)
	fresh := int(j.made) - j.told
	if j.told == 0 {
		d.RecordFirstToken(now, j.request.ID)
		fresh--
	}
	if fresh > 0 {
		d.RecordTokens(now, j.request.ID, fresh)
	}
	j.told = int(j.made)
	if j.whole() {
		r.answered(now, j)
	}
}

func (r *run) answered(now time.Time, j *job) {
	r.end(now, j, router.ResultDone)
	r.outcome.GoodTokens += j.length
	if now.Sub(start) <= r.scenario.Duration {
		r.outcome.GoodTokensDuringArrivals += j.length
	}
	class := &r.outcome.Classes[j.class]
	class.Answered++
	class.seconds = append(class.seconds, now.Sub(j.request.Arrived).Seconds())
	if !now.After(j.request.AnswerBy) {
		class.OnTarget++
	}
}

func (r *run) end(now time.Time, j *job, result router.Result) {
	j.engine.remove(j)
	delete(r.jobs, j.request.ID)
	r.decider(j).Finish(now, j.request.ID, result)
}

// cutOff ends the running jobs whose callers have given up.
func (r *run) cutOff(now time.Time) {
	var late []*job
	for _, e := range r.order {
		for _, j := range e.running {
			if !j.request.GiveUpAt.After(now) {
				late = append(late, j)
			}
		}
	}
	for _, j := range late {
		r.end(now, j, router.ResultCancelled)
		r.outcome.WastedTokens += j.told
		r.outcome.Classes[j.class].TimedOut++
	}
}

func (r *run) submit(now time.Time) {
	for len(r.pending) > 0 && !r.pending[0].request.Arrived.After(now) {
		j := r.pending[0]
		r.pending = r.pending[1:]
		r.outcome.Classes[j.class].Offered++
		r.jobs[j.request.ID] = j
		if refused := r.decider(j).Submit(now, j.request); refused != nil {
			r.refused(now, j, refused)
		}
	}
}

func (r *run) refused(now time.Time, j *job, refused *refusal.Error) {
	r.outcome.RefusedWait += now.Sub(j.request.Arrived).Seconds() / j.request.GiveUpAt.Sub(j.request.Arrived).Seconds()
	r.outcome.Refused++
	delete(r.jobs, j.request.ID)
	r.outcome.Classes[j.class].Refused[refused.Reason]++
}

func (r *run) apply(now time.Time, events []router.Decision) {
	for _, event := range events {
		j := r.jobs[event.ID]
		if event.Refused != nil {
			r.refused(now, j, event.Refused)
			continue
		}
		r.engines[event.Replica.Name].start(j)
	}
}
