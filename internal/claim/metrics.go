package claim

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the ledger's Prometheus metrics.
type metrics struct {
	verdicts   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	finishes   *prometheus.CounterVec
	writes     *prometheus.CounterVec
	writeBytes prometheus.Counter
	changes    prometheus.Counter
	takeovers  prometheus.Counter
	abandoned  prometheus.Counter
	unfinished prometheus.Gauge
	retained   *prometheus.GaugeVec
	bytes      *prometheus.GaugeVec
	fill       *prometheus.GaugeVec
}

// Reasons for retrying a Begin or Finish.
const (
	retryNotHolder = "not_holder"
	retryNoHolder  = "no_holder"
	retryPeer      = "peer_failed"
	retryUncertain = "uncertain"
)

// Results of a Finish.
const (
	finishDurable    = "durable"
	finishBackground = "background"
	finishDropped    = "dropped"
)

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		verdicts:   newCounterVec("trestle_claim_verdicts_total", "Answers to Begin by verdict.", "verdict"),
		refusals:   newCounterVec("trestle_claim_refusals_total", "Refused Begins by reason.", "reason"),
		retries:    newCounterVec("trestle_claim_retries_total", "Tries of Begin and Finish that were repeated, by reason.", "reason"),
		finishes:   newCounterVec("trestle_claim_finishes_total", "Finishes by phase and result.", "phase", "result"),
		writes:     newCounterVec("trestle_claim_platform_writes_total", "Platform writes of shards by effect.", "effect"),
		writeBytes: newCounter("trestle_claim_platform_write_bytes_total", "Bytes of the platform writes that took effect."),
		changes:    newCounter("trestle_claim_changes_total", "Records written to the platform, carried ones included."),
		takeovers:  newCounter("trestle_claim_takeovers_total", "Shards taken over by this node."),
		abandoned:  newCounter("trestle_claim_abandoned_total", "Begins given up without knowing whether the claim is durable."),
		unfinished: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "trestle_claim_unfinished", Help: "Outcomes that wait to be recorded in the background.",
		}),
		retained: newGaugeVec("trestle_claim_retained", "Claims known in a shard held here.", "shard"),
		fill: newGaugeVec("trestle_claim_fill",
			"Part taken of the room that a shard held here has for new claims; from 0.6 on it needs more room, at 1 claims are refused.", "shard"),
		bytes: newGaugeVec("trestle_claim_retained_bytes", "Encoded bytes of the claims known in a shard held here.", "shard"),
	}
	registerer.MustRegister(m.verdicts, m.refusals, m.retries, m.finishes, m.writes, m.writeBytes,
		m.changes, m.takeovers, m.abandoned, m.unfinished, m.retained, m.bytes, m.fill)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

// countWrite counts a write that took effect and updates the shard's gauges.
func (m *metrics) countWrite(shard int, written write, current *ring) {
	label := strconv.Itoa(shard)
	m.writeBytes.Add(float64(len(written.value)))
	m.changes.Add(float64(len(written.digests)))
	m.retained.WithLabelValues(label).Set(float64(len(current.index)))
	m.bytes.WithLabelValues(label).Set(float64(current.bytes))
	m.fill.WithLabelValues(label).Set(current.fill())
}

// deleteShard deletes the gauges of a shard that this node no longer holds.
func (m *metrics) deleteShard(shard int) {
	label := strconv.Itoa(shard)
	m.retained.DeleteLabelValues(label)
	m.bytes.DeleteLabelValues(label)
	m.fill.DeleteLabelValues(label)
}
