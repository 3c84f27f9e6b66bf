package forward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/replica"
)

// CrashGuard keeps calls that crash the replicas which run them from taking one
// replica after the other. It is safe for concurrent use.
type CrashGuard struct {
	tracker *quarantine.Tracker
	running *quarantine.Running
	// probe connects to a replica; an error says why it cannot be reached.
	probe func(ctx context.Context, r replica.Replica) error
	log   *eventlog.Log
}

// NewCrashGuard returns a guard that shares its tracker with other nodes.
func NewCrashGuard(tracker *quarantine.Tracker, probe func(context.Context, replica.Replica) error, log *eventlog.Log) *CrashGuard {
	return &CrashGuard{tracker: tracker, running: quarantine.NewRunning(), probe: probe, log: log}
}

// refuses says whether the call is known to crash replicas, and for how long it
// is refused.
func (c *CrashGuard) refuses(now time.Time, fp quarantine.Fingerprint) (time.Duration, bool) {
	verdict, left := c.tracker.Decide(now, fp)
	return left, verdict == quarantine.Refuse
}

// start notes that the call runs on the replica.
func (c *CrashGuard) start(r replica.Replica, fp quarantine.Fingerprint) *quarantine.Run {
	// Suspects are not kept apart: a second crash names the one that ran in both.
	run, _ := c.running.Start(r.ID, fp, quarantine.Normal)
	return run
}

// probeTimeout bounds the look at a replica whose connection broke.
const probeTimeout = 200 * time.Millisecond

// end notes how the run ended. A lost connection is a crash only if the replica
// takes no new one: connections are also lost on the way.
func (c *CrashGuard) end(run *quarantine.Run, r replica.Replica, f *Failure) {
	if f == nil {
		c.running.Answered(run)
		c.running.Finish(run)
		c.tracker.Finished(time.Now(), run.Fingerprint)
		return
	}
	if f.Result != placement.Interrupted || !f.ReachedReplica {
		c.running.Finish(run)
		return
	}
	go c.look(run, r)
}

// look finds out whether the replica of a run whose connection broke is gone.
func (c *CrashGuard) look(run *quarantine.Run, r replica.Replica) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := c.probe(ctx, r)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		c.running.Finish(run)
		return
	}
	now := time.Now()
	fingerprints := c.running.Crash(now, run)
	if len(fingerprints) == 0 {
		return
	}
	records := c.tracker.Crash(now, fingerprints)
	c.log.Write(&replicaCrashed{replica: r, running: len(fingerprints), records: records, now: now})
}

// fingerprint identifies the call's content: its caller, path and body.
func (c *Call) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(c.workspace(), c.Target, c.Body)
}
