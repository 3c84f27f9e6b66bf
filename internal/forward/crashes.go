package forward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/replica"
)

// CrashGuard refuses calls that crash the replicas that run them: those that did so themselves, and those that
// have a part of their prompts in common with such calls. It is safe for concurrent use.
type CrashGuard struct {
	options     CrashGuardOptions
	running     *quarantine.ActiveRuns
	crashes     *prometheus.CounterVec
	quarantines *prometheus.CounterVec
	trials      crashcause.Trials
}

// CrashGuardOptions configures a CrashGuard.
type CrashGuardOptions struct {
	// Tracker has the calls that crash replicas, Causes what such calls have in common. Both are shared with
	// other nodes.
	Tracker *quarantine.Tracker
	Causes  *crashcause.Tracker
	// Probe connects to a replica and returns the error if that fails.
	Probe func(ctx context.Context, r replica.Replica) error
	// OnCrash is called with the records of calls that a crash has changed, and OnRepeatedCrash if the calls have
	// something in common with those of another crash.
	OnCrash         func([]quarantine.Record)
	OnRepeatedCrash func()
	Log             *eventlog.Log
	Registry        prometheus.Registerer
}

// NewCrashGuard returns a guard.
func NewCrashGuard(options CrashGuardOptions) *CrashGuard {
	c := &CrashGuard{
		options: options, running: quarantine.NewActiveRuns(),
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_replica_crashes_total", Help: "Crashes of replicas that ran calls of this node.",
		}, []string{"upstream"}),
		quarantines: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_quarantines_total", Help: "Quarantines that this node began for calls that crash replicas.",
		}, []string{"upstream"}),
	}
	options.Registry.MustRegister(c.crashes, c.quarantines)
	return c
}

// trialRetryAfter is the delay told to the callers of a call while one of them runs as a trial.
const trialRetryAfter = time.Second

// admission is the crash guard's decision on a call.
type admission struct {
	// verdict is that on the call itself.
	verdict quarantine.Verdict
	// cause is that on what it has in common with calls that crash replicas.
	cause crashcause.Decision
	// left is how long a refusal lasts.
	left time.Duration
}

func (a *admission) refused() bool {
	return a.verdict == quarantine.Refuse || a.cause.Verdict == crashcause.Refuse
}

// isPlain reports whether nothing is known against the call.
func (a *admission) isPlain() bool {
	return a.verdict == quarantine.Normal && a.cause.Verdict == crashcause.Normal
}

// admit decides whether a new call may run. The caller must end it by release.
func (c *CrashGuard) admit(now time.Time, e *exchange) admission {
	a := c.decide(now, e)
	if a.refused() {
		return a
	}
	if a.verdict == quarantine.Trial && !c.running.Claim(e.fingerprint) {
		return admission{verdict: quarantine.Refuse, cause: a.cause, left: trialRetryAfter}
	}
	if a.cause.Verdict == crashcause.Trial && !c.trials.Begin(a.cause.Factor) {
		if a.verdict == quarantine.Trial {
			c.running.Release(e.fingerprint)
		}
		a.cause.Verdict = crashcause.Refuse
		return admission{verdict: a.verdict, cause: a.cause, left: defaultRetryAfter}
	}
	return a
}

// decide returns the decision on a call as things stand now.
func (c *CrashGuard) decide(now time.Time, e *exchange) admission {
	a := admission{cause: c.options.Causes.Decide(now, e.factors)}
	a.verdict, a.left = c.options.Tracker.Decide(now, e.fingerprint)
	if a.cause.Verdict == crashcause.Refuse {
		a.left = max(a.left, a.cause.Left)
	}
	return a
}

// release ends a call that was admitted.
func (c *CrashGuard) release(e *exchange) {
	if e.admission.refused() {
		return
	}
	if e.admission.verdict == quarantine.Trial {
		c.running.Release(e.fingerprint)
	}
	if e.admission.cause.Verdict == crashcause.Trial {
		c.options.Causes.Tried(time.Now(), e.admission.cause.Factor)
		c.trials.End(e.admission.cause.Factor)
	}
}

// isRefused reports whether a call that was admitted is refused by now.
func (c *CrashGuard) isRefused(now time.Time, e *exchange) bool {
	a := c.decide(now, e)
	return a.refused()
}

// isSuspect reports whether a further crash may show that the call crashes replicas.
func (c *CrashGuard) isSuspect(e *exchange) bool {
	return e.attempts > 1 || !e.admission.isPlain() || c.options.Causes.IsSuspect(e.factors)
}

func (c *CrashGuard) startRun(r replica.Replica, e *exchange) *quarantine.Run {
	// Suspect calls are not isolated: after a second crash, the call that ran in
	// both is the cause.
	run, _ := c.running.Start(time.Now(), r.Process().String(), e.fingerprint, quarantine.Normal, e.sharedParts...)
	return run
}

// answering records that the first events of the run's answer have come.
func (c *CrashGuard) answering(run *quarantine.Run) { c.running.Answered(run) }

// sound records that the call's run does not crash its replica.
func (c *CrashGuard) sound(run *quarantine.Run, e *exchange) {
	c.running.Sound(run)
	c.options.Causes.Sound(time.Now(), run.StartedAt(), e.factors)
}

// probe returns the error of a new connection to the replica, nil if it accepts one.
func (c *CrashGuard) probe(ctx context.Context, r replica.Replica) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.options.Probe(ctx, r)
}

// probeTimeout bounds the check of a replica whose connection broke.
const probeTimeout = 200 * time.Millisecond

// endRun records how the run ended. A broken connection counts as a crash only if
// the replica refuses a new one, because the network can also break connections. For a suspect call it returns
// once that is known, so that the next decision on the call includes it.
func (c *CrashGuard) endRun(run *quarantine.Run, e *exchange, r replica.Replica, f *Failure) {
	if f == nil {
		c.running.Answered(run)
		c.sound(run, e)
		c.running.Finish(run)
		c.options.Tracker.Finished(time.Now(), run.Fingerprint)
		return
	}
	if f.Result != placement.Interrupted || !f.ReachedReplica {
		c.running.Finish(run)
		return
	}
	brokeAt := time.Now()
	if c.isSuspect(e) {
		c.checkCrash(run, r, brokeAt)
		return
	}
	go c.checkCrash(run, r, brokeAt)
}

// checkCrash probes the replica of a run whose connection broke at the time, and
// records a crash if the replica refuses connections.
func (c *CrashGuard) checkCrash(run *quarantine.Run, r replica.Replica, brokeAt time.Time) {
	err := c.probe(context.Background(), r)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		c.options.Log.Write(&crashNotConfirmed{replica: r, fingerprint: run.Fingerprint, err: err})
		c.running.Finish(run)
		return
	}
	ended := c.running.Crash(brokeAt, run)
	if len(ended) == 0 {
		return
	}
	if c.options.Causes.Crashed(brokeAt, run.Replica, crashcause.SuspectRuns(brokeAt, r.Upstream, ended, &c.trials)) {
		c.options.OnRepeatedCrash()
	}
	records := c.options.Tracker.CrashOf(brokeAt, run.Replica, ended)
	crash := &replicaCrashed{replica: r, ended: ended, records: records, now: brokeAt}
	c.crashes.WithLabelValues(r.Upstream).Inc()
	c.quarantines.WithLabelValues(r.Upstream).Add(float64(crash.quarantined()))
	c.options.OnCrash(records)
	c.options.Log.Write(crash)
}

// fingerprint identifies the call by its workspace, target and body.
func (c *Call) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(c.workspace(), c.Target, c.Body)
}

// sharedParts returns the parts of the prompt that other calls may share: all but the last one.
func (c *Call) sharedParts() []quarantine.PromptPart {
	var shared []quarantine.PromptPart
	for i := range len(c.Prompt.Parts) - 1 {
		shared = append(shared, quarantine.PromptPart(c.Prompt.Parts[i].ID))
	}
	return shared
}
