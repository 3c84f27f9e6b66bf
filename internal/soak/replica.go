package soak

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"galenatrestle/platform/platformtest"
)

// runningReplica is one incarnation of a replica behind its proxy.
type runningReplica struct {
	id      string
	service string
	version string
	handler *platformtest.Replica
	server  *http.Server
	proxy   *proxy
	// limited says that it names a rate.
	limited bool
	// servesFrom and servesUntil are when it takes new requests; servesUntil is zero while it does.
	servesFrom, servesUntil time.Time
	// disturbances are when faults of the replica or of the path to it began and ended.
	disturbances []time.Time
}

// disturbed notes that a fault of the replica begins or ends now.
func (w *world) disturbed(r *runningReplica) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.disturbances = append(r.disturbances, time.Now())
}

// isSoundBetween reports whether the replica took requests all the time and no fault of its own began,
// lasted or ended meanwhile. The world's lock is held.
func (r *runningReplica) isSoundBetween(from, until time.Time) bool {
	if r.servesFrom.After(from) || !r.servesUntil.IsZero() && r.servesUntil.Before(until) {
		return false
	}
	before := 0
	for _, at := range r.disturbances {
		switch {
		case at.Before(from):
			before++
		case at.Before(until):
			return false
		}
	}
	// Each fault is noted twice.
	return before%2 == 0
}

// addReplica starts a replica and registers it.
func (w *world) addReplica(service, version string) error {
	w.started++
	id := fmt.Sprintf("i-%03d", w.started)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	handler := &platformtest.Replica{ID: id, Version: version, Runs: w.runs, Slots: w.options.slots(), Queue: w.options.Queue, EventEvery: w.options.EventEvery, WorkTime: w.options.workTime(w.started)}
	r := &runningReplica{id: id, service: service, version: version, handler: handler, servesFrom: time.Now()}
	handler.OnCrash = func() { w.crash(r) }
	if w.options.PartCrash != nil {
		handler.CrashPart, handler.OnPartCrash = crashingPart, func() { w.crashOnPart(r) }
	}
	handler.WithoutLength = w.options.WithoutLength
	handler.SetBrittle(w.brittle[service])
	handler.OnOverload = func() { w.fallOver(r) }
	r.server = &http.Server{Handler: w.handlerOf(w.started, handler)}
	go r.server.Serve(listener)
	if r.proxy, err = newProxy(listener.Addr().String()); err != nil {
		return err
	}
	w.replicas = append(w.replicas, r)
	w.store.Register(id, service, version, r.proxy.address(), "ready")
	return nil
}

// workTime returns how long the replica with the number runs a plain call.
func (o *Options) workTime(number int) time.Duration {
	return o.WorkTime + o.WorkTimeStep*time.Duration(number%max(o.LedgerReplicas, 1))
}

func (w *world) disturbReplica(e event) {
	w.mu.Lock()
	r := w.replicas[e.target%len(w.replicas)]
	w.mu.Unlock()
	w.disturbed(r)
	defer w.disturbed(r)
	switch e.kind {
	case replicaSlow:
		r.proxy.set(slow)
		w.pauseThen(e.lasts, func() { r.proxy.set(pass) })
	case replicaDark:
		r.proxy.set(silence)
		w.pauseThen(e.lasts, func() { r.proxy.set(pass); r.proxy.reset() })
	case replicaOneWay:
		r.proxy.set(cutAnswers)
		w.pauseThen(e.lasts, func() { r.proxy.set(pass); r.proxy.reset() })
	case replicaSilent:
		w.silence(r, e)
	case replicaReset:
		r.proxy.reset()
	case replicaLimit:
		w.limit(r, e)
	case replicaNotice:
		w.announceLeaving(r, e)
	case replicaPause:
		w.askForPause(r, e)
	case replicaCrash:
		w.replace(r, func() { _ = r.server.Close(); r.proxy.close() }, e.lasts)
	case replicaLeaves:
		w.leave(r, r.version)
	}
}

// replace ends a replica and starts another one in its place.
func (w *world) replace(r *runningReplica, end func(), after time.Duration) {
	if !w.take(r, r.version) {
		return
	}
	end()
	w.pauseThen(after, func() { w.store.Deregister(r.id) })
}

// take removes a replica from the running ones and starts its successor of the version; false:
// it is gone already.
func (w *world) take(r *runningReplica, successor string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.remove(r) {
		return false
	}
	w.startReplica(r.service, successor)
	return true
}

// remove removes a replica from the running ones; false: it is gone already. The lock is held.
func (w *world) remove(r *runningReplica) bool {
	i := slices.Index(w.replicas, r)
	if i < 0 {
		return false
	}
	w.replicas = slices.Delete(w.replicas, i, i+1)
	r.servesUntil = time.Now()
	w.ended = append(w.ended, r)
	return true
}

// startReplica starts a replica; that it can't is a violation. The lock is held.
func (w *world) startReplica(service, version string) {
	if err := w.addReplica(service, version); err != nil {
		w.violations = append(w.violations, err.Error())
	}
}

// leave lets a replica drain as on a planned stop. Its successor has the version.
func (w *world) leave(r *runningReplica, successor string) {
	if !w.take(r, successor) {
		return
	}
	w.store.Register(r.id, r.service, r.version, r.proxy.address(), "draining")
	w.mu.Lock()
	w.drained[r.id] = time.Now()
	w.mu.Unlock()
	time.Sleep(drainWithin + time.Second)
	w.store.Deregister(r.id)
	_ = r.server.Close()
	r.proxy.close()
}
