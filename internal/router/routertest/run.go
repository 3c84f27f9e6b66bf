package routertest

import (
	"math/rand/v2"
	"strconv"
	"time"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

const (
	tick           = 10 * time.Millisecond
	reportInterval = time.Second
	// reportDelay is the age of a load report when the pools receive it.
	reportDelay = time.Second
	// stragglerFactor is the slowdown of a straggler.
	stragglerFactor = 10
)

type run struct {
	scenario       Scenario
	engines        map[string]*engine
	orderedEngines []*engine
	deciders       []decider
	jobs           map[string]*job
	pending        []*job
	reports        []delayedReport
	outcome        Outcome
	// advanced is a buffer of the jobs with new tokens.
	advanced []*job
}

type delayedReport struct {
	due     time.Time
	replica string
	load    router.LoadReport
}

// Run simulates the scenario until all requests have ended.
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
		e := &engine{name: "replica-" + strconv.Itoa(i), slowdown: 1}
		r.engines[e.name] = e
		r.orderedEngines = append(r.orderedEngines, e)
		replicas = append(replicas, router.Replica{Name: e.name, Slots: s.Slots})
	}
	r.pending = arrivals(s)
	r.outcome.Capacity = float64(s.Replicas) * Knee / tokenTime.Seconds() * s.Duration.Seconds()
	for _, p := range profiles {
		r.outcome.Classes = append(r.outcome.Classes, ClassOutcome{Name: p.class.Name, Refused: make(map[refusal.Reason]int), timeout: p.class.GiveUpAfter.Std().Seconds()})
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
	r.setStragglers(now.Sub(start))
	r.deliverReports(now)
	r.advance(now)
	r.cancelTimedOut(now)
	r.submit(now)
	for _, d := range r.deciders {
		r.applyDecisions(now, d.Decide(now))
	}
}

func (r *run) setStragglers(elapsed time.Duration) {
	s := &r.scenario
	slow := elapsed >= s.StragglersFrom && (s.StragglersUntil == 0 || elapsed < s.StragglersUntil)
	for _, e := range r.orderedEngines[:s.Stragglers] {
		e.slowdown = 1
		if slow {
			e.slowdown = stragglerFactor
		}
	}
}

func (r *run) deliverReports(now time.Time) {
	if now.Sub(start)%reportInterval == 0 {
		for _, e := range r.orderedEngines {
			r.reports = append(r.reports, delayedReport{due: now.Add(reportDelay), replica: e.name, load: e.loadReport(now)})
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
	return r.deciders[j.poolIndex%len(r.deciders)]
}

func (r *run) advance(now time.Time) {
	r.advanced = r.advanced[:0]
	for _, e := range r.orderedEngines {
		r.advanced = e.advance(tick, r.advanced)
	}
	for _, j := range r.advanced {
		r.reportTokens(now, j)
	}
}

func (r *run) reportTokens(now time.Time, j *job) {
	d := r.decider(j)
	newTokens := int(j.generated) - j.reported
	if j.reported == 0 {
		d.RecordFirstToken(now, j.request.ID)
		newTokens--
	}
	if newTokens > 0 {
		d.RecordTokens(now, j.request.ID, newTokens)
	}
	j.reported = int(j.generated)
	if j.complete() {
		r.recordAnswer(now, j)
	}
}

func (r *run) recordAnswer(now time.Time, j *job) {
	r.finish(now, j, router.ResultDone)
	r.outcome.GoodTokens += j.answerTokens
	if now.Sub(start) <= r.scenario.Duration {
		r.outcome.GoodTokensDuringArrivals += j.answerTokens
	}
	class := &r.outcome.Classes[j.classIndex]
	class.Answered++
	class.latencies = append(class.latencies, now.Sub(j.request.Arrived).Seconds())
	if !now.After(j.request.AnswerBy) {
		class.OnTarget++
	}
}

func (r *run) finish(now time.Time, j *job, result router.Result) {
	j.engine.remove(j)
	delete(r.jobs, j.request.ID)
	r.decider(j).Finish(now, j.request.ID, result)
}

// cancelTimedOut cancels the running jobs whose callers have given up.
func (r *run) cancelTimedOut(now time.Time) {
	var timedOut []*job
	for _, e := range r.orderedEngines {
		for _, j := range e.running {
			if !j.request.GiveUpAt.After(now) {
				timedOut = append(timedOut, j)
			}
		}
	}
	for _, j := range timedOut {
		r.finish(now, j, router.ResultCancelled)
		r.outcome.WastedTokens += j.reported
		r.outcome.Classes[j.classIndex].TimedOut++
	}
}

func (r *run) submit(now time.Time) {
	for len(r.pending) > 0 && !r.pending[0].request.Arrived.After(now) {
		j := r.pending[0]
		r.pending = r.pending[1:]
		r.outcome.Classes[j.classIndex].Offered++
		r.jobs[j.request.ID] = j
		if refused := r.decider(j).Submit(now, j.request); refused != nil {
			r.recordRefusal(now, j, refused)
		}
	}
}

func (r *run) recordRefusal(now time.Time, j *job, refused *refusal.Error) {
	r.outcome.RefusedWait += now.Sub(j.request.Arrived).Seconds() / j.request.GiveUpAt.Sub(j.request.Arrived).Seconds()
	r.outcome.Refused++
	delete(r.jobs, j.request.ID)
	r.outcome.Classes[j.classIndex].Refused[refused.Reason]++
}

func (r *run) applyDecisions(now time.Time, decisions []router.Decision) {
	for _, decision := range decisions {
		j := r.jobs[decision.ID]
		if decision.Refused != nil {
			r.recordRefusal(now, j, decision.Refused)
			continue
		}
		r.engines[decision.Replica.Name].start(j)
	}
}
