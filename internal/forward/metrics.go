package forward

import (
	"cmp"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	calls            *prometheus.CounterVec
	latency          *prometheus.HistogramVec
	attemptFailures  *prometheus.CounterVec
	firstByte        *prometheus.HistogramVec
	overloadRefusals *prometheus.CounterVec
	replicaNotices   *prometheus.CounterVec
	replicaRefusals  *prometheus.CounterVec
	resumedStreams   *prometheus.CounterVec
	callsAboveShare  *prometheus.CounterVec
	yieldingCalls    *prometheus.CounterVec
	heldReplicas     *prometheus.CounterVec
	refusal          *prometheus.HistogramVec
	lateRefusals     *prometheus.CounterVec
	silences         *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	buckets := []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1, 2.5, 5, 15}
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_calls_total", Help: "Calls by upstream and how they ended.",
		}, []string{"upstream", "ending"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "trestle_call_seconds", Help: "Time from a call's arrival to its end.", Buckets: buckets,
		}, []string{"upstream"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "trestle_first_byte_seconds", Help: "Time from a call's arrival to the first byte of its answer.", Buckets: buckets,
		}, []string{"upstream"}),
		attemptFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_attempt_failures_total", Help: "Failed attempts by step, and why no further one was made (retried: one was).",
		}, []string{"step", "decision"}),
		overloadRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_turned_away_total", Help: "Calls refused for overload before any attempt, by upstream and reason.",
		}, []string{"upstream", "reason"}),
		replicaNotices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_replica_notices_total", Help: "Responses in which a replica said that it is leaving, or asked for a pause.",
		}, []string{"upstream", "notice"}),
		replicaRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_replica_refusals_total", Help: "Requests that replicas refused without running them, by upstream and what this node took the replica for.",
		}, []string{"upstream", "taken_for"}),
		resumedStreams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_resumed_streams_total", Help: "Streams that went on at another replica, by upstream, who resumed them and how the replica's software version compares with that of the first events.",
		}, []string{"upstream", "by", "version"}),
	}
	m.callsAboveShare = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_calls_above_share_total", Help: "Calls of workspaces above their share of an upstream that is short of capacity.",
	}, []string{"upstream"})
	m.yieldingCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_yielding_calls_total", Help: "Calls that yielded to others of their tier because they were expected to miss their objective.",
	}, []string{"upstream"})
	m.heldReplicas = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_held_replicas_total", Help: "Replicas that a call without a prompt was kept from because they held their slots and a short queue.",
	}, []string{"upstream"})
	m.silences = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_replica_silences_total", Help: "Attempts whose replica sent nothing for the idle timeout, and why the call was not sent to another one too (hedged: it was).",
	}, []string{"upstream", "decision"})
	registry.MustRegister(
		m.silences, m.calls, m.latency, m.firstByte, m.attemptFailures, m.overloadRefusals, m.replicaNotices, m.replicaRefusals, m.resumedStreams,
		m.callsAboveShare, m.heldReplicas, m.yieldingCalls,
	)
	m.registerRefusals(registry)
	return m
}

// recordCallEnd records an ended call. firstByte is zero if no response started.
func (m *metrics) recordCallEnd(c *Call, ending Ending, firstByte, now time.Time) {
	m.calls.WithLabelValues(c.Upstream, string(ending)).Inc()
	m.latency.WithLabelValues(c.Upstream).Observe(now.Sub(c.Arrived).Seconds())
	if ending == EndedRefused {
		m.recordRefusal(c, now)
	}
	if !firstByte.IsZero() {
		m.firstByte.WithLabelValues(c.Upstream).Observe(firstByte.Sub(c.Arrived).Seconds())
	}
}

// recordSilence records that a replica counts as silent, and why the call was not sent to another one too.
func (m *metrics) recordSilence(upstream string, reason stopReason) {
	m.silences.WithLabelValues(upstream, cmp.Or(string(reason), "hedged")).Inc()
}

func (m *metrics) recordRetryDecision(f *Failure, reason stopReason) {
	m.attemptFailures.WithLabelValues(f.Step, cmp.Or(string(reason), "retried")).Inc()
}
