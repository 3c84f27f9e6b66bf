package soak

import (
	"time"

	"galenatrestle/platform/platformtest"
)

const (
	// brittleStable is the time after replicas first said that they are brittle from which falls
	// count, brittleLasts the time for which they say so.
	brittleStable = 3 * time.Second
	brittleLasts  = brittleStable + 4*time.Second
	// bearsRefusals is the refusals a second that a brittle replica bears.
	bearsRefusals = 3
	// The replicas of a service may fall over fallAllowance times plus fallShare of their number.
	fallAllowance = 2
	fallShare     = 0.1
)

// brittleTime is a time in which the replicas of a service were brittle.
type brittleTime struct {
	service     string
	replicas    int
	from, until time.Time
}

// fall is the end of a brittle replica that refused too many requests.
type fall struct {
	service string
	at      time.Time
}

// makeBrittle has all replicas of a service say that they are brittle, for the event's time. They
// fall over only after a while.
func (w *world) makeBrittle(e event) {
	service := []string{"model", "ledger"}[e.target%2]
	t := brittleTime{service: service, from: time.Now()}
	t.replicas = w.setBrittle(service, &platformtest.Brittleness{Bears: bearsRefusals})
	time.Sleep(brittleStable)
	w.setBrittle(service, &platformtest.Brittleness{Bears: bearsRefusals, Falls: true, Queue: w.options.BrittleQueue})
	time.Sleep(e.lasts - brittleStable)
	t.until = time.Now()
	w.setBrittle(service, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brittleTimes = append(w.brittleTimes, t)
}

// setBrittle applies to the service's replicas, also those started later. It returns their number.
func (w *world) setBrittle(service string, b *platformtest.Brittleness) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brittle[service] = b
	count := 0
	for _, r := range w.replicas {
		if r.service == service {
			r.handler.SetBrittle(b)
			count++
		}
	}
	return count
}

// fallOver ends a brittle replica that refused too many requests.
func (w *world) fallOver(r *runningReplica) {
	w.mu.Lock()
	w.falls = append(w.falls, fall{service: r.service, at: time.Now()})
	w.mu.Unlock()
	if w.options.Restart == 0 {
		w.crash(r)
		return
	}
	go w.restartReplica(r)
}

// restartReplica ends a replica and starts another one after the restart time.
func (w *world) restartReplica(r *runningReplica) {
	w.mu.Lock()
	isRunning := w.remove(r)
	w.mu.Unlock()
	if !isRunning {
		return
	}
	r.proxy.close()
	_ = r.server.Close()
	w.succeedAfter(r, w.options.Restart)
}

// succeedAfter has the registration of a replica that ended removed, and another one started after the time.
func (w *world) succeedAfter(r *runningReplica, away time.Duration) {
	time.AfterFunc(crashRestart, func() { w.store.Deregister(r.id) })
	time.AfterFunc(away, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.startReplica(r.service, r.version)
	})
}

// counts reports whether what happens at the time counts.
func (t *brittleTime) counts(at time.Time) bool {
	return at.After(t.from.Add(brittleStable)) && at.Before(t.until)
}

// falls returns the falls of the service that count.
func (t *brittleTime) falls(w *world) []fall {
	var falls []fall
	for _, f := range w.falls {
		if f.service == t.service && t.counts(f.at) {
			falls = append(falls, f)
		}
	}
	return falls
}

// count adds the time's falls, calls and runs to the report.
func (t *brittleTime) count(r *BrittleReport, w *world, calls []*sent) {
	for _, f := range t.falls(w) {
		r.Falls = append(r.Falls, f.at.Sub(t.from))
	}
	for _, s := range calls {
		if t.counts(s.at) && !s.comesBack {
			r.Calls++
			if s.whole() {
				r.Served++
			}
		}
	}
	for _, run := range w.runs.All() {
		if t.counts(run.At) {
			r.Runs++
		}
	}
	r.Room += float64(t.replicas*w.options.slots()) * t.until.Sub(t.from.Add(brittleStable)).Seconds() / max(w.options.WorkTime, time.Millisecond).Seconds()
}

// BrittleReport is what became of calls while replicas were brittle and fell over if they refused too
// many.
type BrittleReport struct {
	// Calls are the first tries of callers, Served those that were served.
	Calls, Served int
	// Runs are the calls that replicas ran, and Room those that their slots have room for.
	Runs int
	Room float64
	// Falls are the times of falls since the replicas became brittle.
	Falls []time.Duration
}

func (w *world) brittleReport(calls []*sent) BrittleReport {
	var r BrittleReport
	for _, t := range w.brittleTimes {
		t.count(&r, w, calls)
	}
	return r
}

// judgeFalls checks that refusals ended few brittle replicas.
func (w *world) judgeFalls() {
	for _, t := range w.brittleTimes {
		count := len(t.falls(w))
		if allowed := fallAllowance + fallShare*float64(t.replicas); float64(count) > allowed {
			w.violate("%d of %d brittle replicas of %s fell over, as they had to refuse too many requests; allowed %.1f", count, t.replicas, t.service, allowed)
		}
	}
}
