package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/dispatch"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
	"galenatrestle/internal/upstream"
)

// suspectPause is how long a suspect waits before it looks for another replica
// without a suspect.
const suspectPause = 20 * time.Millisecond

// guard keeps requests that crash replicas from taking one after the other.
type guard struct {
	tracker *quarantine.Tracker
	running *quarantine.ActiveRuns
	causes  *crashcause.Tracker
	trials  crashcause.Trials
	// spread tells the peers of changed records, spreadCauses of those of causes.
	spread       func(...quarantine.Record)
	spreadCauses func()
	crashes      prometheus.Counter
	named        prometheus.Counter
}

func newGuard(options Options) *guard {
	g := &guard{
		tracker: options.Quarantine,
		running: quarantine.NewActiveRuns(),
		spread:  options.SpreadQuarantine,
		causes:  options.CrashCauses, spreadCauses: options.SpreadCrashCauses,
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "trestle", Name: "replica_crashes_total",
			Help: "Crashes of replicas while requests of this node ran on them.",
		}),
		named: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "trestle", Name: "quarantines_total",
			Help: "Requests quarantined for a crash, by content and time.",
		}),
	}
	options.Registry.MustRegister(g.crashes, g.named)
	return g
}

// settle notes the end of a run at the upstream.
func (g *guard) settle(now time.Time, upstreamName string, run *quarantine.Run, err error) {
	factors := crashcause.FactorsOf(upstreamName, run.Fingerprint, run.Parts)
	// While a call runs as a trial, others with the cause are refused.
	if trial := g.trials.Among(factors); trial != 0 {
		defer g.trials.End(trial)
		defer g.causes.Tried(now, trial)
	}
	if err != nil && upstream.KindOf(err) == upstream.Crashed {
		g.crashed(now, upstreamName, run)
		return
	}
	g.running.Finish(run)
	if err != nil {
		return
	}
	if g.causes.IsSuspect(factors) {
		g.causes.Sound(now, run.StartedAt(), factors)
		g.spreadCauses()
	}
	if record, changed := g.tracker.Finished(now, run.Fingerprint); changed {
		g.spread(record)
	}
}

func (g *guard) crashed(now time.Time, upstreamName string, run *quarantine.Run) {
	ended := g.running.Crash(now, run)
	if len(ended) == 0 {
		return
	}
	g.crashes.Inc()
	g.causes.Crashed(now, run.Replica, crashcause.SuspectRuns(now, upstreamName, ended, &g.trials))
	g.spreadCauses()
	records := g.tracker.CrashOf(now, run.Replica, ended)
	for _, r := range records {
		if r.Until.After(now) {
			g.named.Inc()
		}
	}
	g.spread(records...)
}

// admitCause returns the refusal of a request that has a part of its prompt in common with others that crash
// replicas, and the cause of which it is a trial; zero: of none.
func (g *guard) admitCause(factors []crashcause.Factor) (crashcause.Factor, error) {
	decision := g.causes.Decide(time.Now(), factors)
	switch {
	case decision.Verdict == crashcause.Refuse:
		return 0, quarantined(decision.Left)
	case decision.Verdict == crashcause.Normal:
		return 0, nil
	case !g.trials.Begin(decision.Factor):
		return 0, quarantined(trialWait)
	default:
		return decision.Factor, nil
	}
}

// trialWait is the delay told to callers while another request runs as a trial.
const trialWait = time.Second

// acquire waits for a slot on a replica where the request may run.
func (s *Server) acquire(ctx context.Context, upstreamName string, request router.Request) (*dispatch.Slot, *quarantine.Run, error) {
	request.Avoid = slices.Clone(request.Avoid)
	fingerprint := quarantine.Fingerprint(request.Fingerprint)
	trial, err := s.guard.admitCause(crashcause.FactorsOf(upstreamName, fingerprint, request.PromptParts))
	if err != nil {
		return nil, nil, err
	}
	slot, run, err := s.acquireSlot(ctx, upstreamName, request)
	if err != nil {
		s.guard.trials.End(trial)
	}
	return slot, run, err
}

// acquireSlot is acquire for a request whose prompt has nothing that crashes replicas.
func (s *Server) acquireSlot(ctx context.Context, upstreamName string, request router.Request) (*dispatch.Slot, *quarantine.Run, error) {
	fingerprint := quarantine.Fingerprint(request.Fingerprint)
	for {
		verdict, wait := s.guard.tracker.Decide(time.Now(), fingerprint)
		if verdict == quarantine.Refuse {
			return nil, nil, quarantined(wait)
		}
		slot, err := s.options.Dispatch.Acquire(ctx, upstreamName, request)
		if err != nil {
			return nil, nil, err
		}
		run, ok := s.guard.running.Start(time.Now(), upstreamName+"/"+slot.Replica.Name, fingerprint, verdict, request.PromptParts...)
		if ok {
			return slot, run, nil
		}
		slot.Finish(router.ResultCancelled)
		request.Avoid = append(request.Avoid, slot.Replica.Name)
		if err := ctxtime.Sleep(ctx, suspectPause); err != nil {
			return nil, nil, err
		}
	}
}

// quarantined is the refusal of a request that crashes replicas. Whether an
// earlier attempt ran is completed by the caller.
func quarantined(wait time.Duration) error {
	refused := refusal.New(refusal.Quarantined, "quarantine", "replicas crashed while this request ran on them")
	refused.RetryAfter = wait
	return refused
}
