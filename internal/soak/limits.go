package soak

import (
	"slices"
	"time"

	"galenatrestle/platform/platformtest"
)

const (
	// rateStable is the time after a replica first named its rate from which it binds.
	rateStable = 3 * time.Second
	// rateWindow is the time over which its requests are added up.
	rateWindow = 4 * time.Second
	// rateTold is the time after which a node that passed on an answer with the rate
	// counts as told.
	rateTold = 500 * time.Millisecond
	// rateFactor and rateAllowance are what a replica may get beyond its rate.
	rateFactor    = 1.5
	rateAllowance = 5.0
)

// rateLimit is a time in which a replica named a rate.
type rateLimit struct {
	replica     string
	perSecond   float64
	from, until time.Time
}

// allowed is the requests that the replica may get in a window.
func (l *rateLimit) allowed() float64 {
	return rateFactor*l.perSecond*rateWindow.Seconds() + rateAllowance
}

// limit has the replica name a rate for the event's time.
func (w *world) limit(r *runningReplica, e event) {
	if !w.setLimited(r, true) {
		return
	}
	defer w.setLimited(r, false)
	l := rateLimit{replica: r.id, perSecond: e.rate, from: time.Now()}
	r.handler.SetRate(e.rate)
	w.pauseThen(e.lasts, func() { r.handler.SetRate(0) })
	l.until = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = append(w.limits, l)
}

// setLimited notes that the replica names a rate, or none any more; false: it did so
// already.
func (w *world) setLimited(r *runningReplica, limited bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := r.limited != limited
	r.limited = limited
	return changed
}

// judgeLimits checks that no replica got more from nodes that it had told than it said it
// takes.
func (w *world) judgeLimits(calls []*sent) {
	byID := senders(calls)
	arrivals := w.runs.Arrivals()
	for i := range w.limits {
		l := &w.limits[i]
		var counted []time.Time
		for _, a := range arrivals {
			if a.Replica == l.replica && !a.At.Before(l.from.Add(rateStable)) && a.At.Before(l.until) && w.wasTold(l, byID[a.ID], a, calls) {
				counted = append(counted, a.At)
			}
		}
		w.judgeLimit(l, counted)
	}
}

// judgeLimit reports the fullest window.
func (w *world) judgeLimit(l *rateLimit, counted []time.Time) {
	most := 0
	var at time.Time
	slices.SortFunc(counted, time.Time.Compare)
	for i, from := range counted {
		if n := countWithin(counted, from, rateWindow); n > most {
			most, at = n, counted[i+n-1]
		}
	}
	if float64(most) > l.allowed() {
		w.violate("replica %s had named %.1f requests a second %s before and got %d in %s from nodes that it had told; allowed %.1f",
			l.replica, l.perSecond, at.Sub(l.from).Round(time.Millisecond), most, rateWindow, l.allowed())
	}
}

// wasTold says whether the node that sent the request had passed on an answer with the
// rate, and was not disturbed since or just before.
func (w *world) wasTold(l *rateLimit, c *sent, a platformtest.Arrival, calls []*sent) bool {
	if c == nil {
		return false
	}
	undisturbed := w.undisturbedSince(c.entry, a.At)
	for _, told := range calls {
		if told.entry == c.entry && told.limited && told.stamp == l.replica &&
			told.at.After(undisturbed) && told.endedAt.After(l.from) && a.At.Sub(told.endedAt) >= rateTold {
			return true
		}
	}
	return false
}

// undisturbedSince is from when on the node's process counts as sound at the time.
func (w *world) undisturbedSince(entry string, at time.Time) time.Time {
	var since time.Time
	for _, n := range w.nodes {
		if n.entry != entry {
			continue
		}
		for _, disturbed := range n.disturbances {
			if disturbed.Before(at) {
				since = disturbed.Add(rateStable)
			}
		}
	}
	return since
}
