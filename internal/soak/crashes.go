package soak

import (
	"context"
	"fmt"
	"time"

	"galenatrestle/platform/platformtest"
)

const (
	// pauseBetweenCrashing is the time between two crashing calls of one caller.
	pauseBetweenCrashing = 100 * time.Millisecond
	// crashRestart is how long the registration of a replica that ended stays.
	crashRestart = time.Second
	// crashSlack is the time after a call's third crash in which it may still reach replicas, and
	// crashAllowance the number of times that it may reach them later.
	crashSlack     = 3 * time.Second
	crashAllowance = 3
	// crashKey is the caller's key of crashing calls. A call with another key is another call.
	crashKey = "key-0"
)

// runCrashing sends the same crashing call, under new IDs, until ctx ends.
func (c *caller) runCrashing(ctx context.Context) {
	c.repeat(ctx, pauseBetweenCrashing, func(entry string) {
		s := &sent{id: fmt.Sprintf("crash-%s-%d", c.name, c.count), entry: entry, path: platformtest.CrashPath, key: crashKey}
		c.send(s, s.path, "crash")
	})
}

// crash ends a replica that runs a crashing call. The listener is closed first, so that no
// connection is accepted once the others are lost.
func (w *world) crash(r *runningReplica) {
	w.mu.Lock()
	w.disturbedAt = time.Now()
	w.crashes = append(w.crashes, w.disturbedAt)
	w.mu.Unlock()
	go w.replace(r, func() { r.proxy.close(); _ = r.server.Close() }, crashRestart)
}

// judgeCrashes checks that a call that has ended three replicas is not sent on and on. A
// disturbance of the node excuses what it sends.
func (w *world) judgeCrashes(calls []*sent) {
	if len(w.crashes) < 3 {
		return
	}
	byID := senders(calls)
	later := 0
	for _, a := range w.runs.Arrivals() {
		s := byID[a.ID]
		if s == nil || s.path != platformtest.CrashPath || a.At.Sub(w.crashes[2]) <= crashSlack {
			continue
		}
		if a.At.After(w.undisturbedSince(s.entry, a.At)) {
			later++
		}
	}
	if later > crashAllowance {
		w.violate("a call that had ended three replicas was sent %d times later than %s after; allowed %d; %d ended in all", later, crashSlack, crashAllowance, len(w.crashes))
	}
}
