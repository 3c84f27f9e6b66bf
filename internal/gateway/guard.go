package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

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
	// spread tells the peers of changed records.
	spread  func(...quarantine.Record)
	crashes prometheus.Counter
	named   prometheus.Counter
}

func newGuard(options Options) *guard {
	g := &guard{
		tracker: options.Quarantine,
		running: quarantine.NewActiveRuns(),
		spread:  options.SpreadQuarantine,
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

// settle notes the end of a run.
func (g *guard) settle(now time.Time, run *quarantine.Run, err error) {
	if err != nil && upstream.KindOf(err) == upstream.Crashed {
		g.crashed(now, run)
		return
	}
	g.running.Finish(run)
	if err != nil {
		return
	}
	if record, changed := g.tracker.Finished(now, run.Fingerprint); changed {
		g.spread(record)
	}
}

func (g *guard) crashed(now time.Time, run *quarantine.Run) {
	ended := g.running.Crash(now, run)
	if len(ended) == 0 {
		return
	}
	g.crashes.Inc()
	records := g.tracker.CrashOf(now, run.Replica, ended)
	for _, r := range records {
		if r.Until.After(now) {
			g.named.Inc()
		}
	}
	g.spread(records...)
}

// acquire waits for a slot on a replica where the request may run.
func (s *Server) acquire(ctx context.Context, upstreamName string, request router.Request) (*dispatch.Slot, *quarantine.Run, error) {
	request.Avoid = slices.Clone(request.Avoid)
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
		run, ok := s.guard.running.Start(time.Now(), upstreamName+"/"+slot.Replica.Name, fingerprint, verdict)
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
