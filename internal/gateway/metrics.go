package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/retry"
)

// metrics are the callers' side's figures.
type metrics struct {
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	answers    *prometheus.CounterVec
	tokens     *prometheus.CounterVec
	wasted     *prometheus.CounterVec
	retries    *retry.Metrics
	unkept     prometheus.Counter
	firstToken *prometheus.HistogramVec
	answerTime *prometheus.HistogramVec
	queueWait  *prometheus.HistogramVec
	tokenGap   *prometheus.HistogramVec
}

// latencyBuckets reach from a millisecond to about four minutes.
var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 18)

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		requests: counter("requests_total", "Requests whose key, class and headers were in order, by class and end.", "class", "end"),
		refusals: counter("refusals_total", "Requests refused, by reason and outcome.", "reason", "outcome"),
		answers:  counter("answers_total", "Whole answers, by class and whether on target.", "class", "on_target"),
		tokens:   counter("answer_tokens_total", "Tokens of whole answers, by class and whether on target: goodput is on_target=true.", "class", "on_target"),
		wasted:   counter("wasted_tokens_total", "Tokens generated for no whole answer, by class and cause.", "class", "cause"),
		retries:  retry.NewMetrics(registry),
		unkept: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "trestle", Name: "answers_unkept_total",
			Help: "Answers that cannot be fetched again, for lack of memory.",
		}),
		firstToken: histogram("first_token_seconds", "Time from arrival to the first token.", "class"),
		answerTime: histogram("answer_seconds", "Time from arrival to the whole answer.", "class"),
		queueWait:  histogram("queue_wait_seconds", "Time from arrival to a slot.", "class"),
		tokenGap:   histogram("token_gap_seconds", "Mean time between the tokens of an answer.", "class"),
	}
	registry.MustRegister(m.requests, m.refusals, m.answers, m.tokens, m.wasted, m.unkept,
		m.firstToken, m.answerTime, m.queueWait, m.tokenGap)
	for _, reason := range refusal.Reasons() {
		m.refusals.WithLabelValues(string(reason), string(refusal.NotRun))
		m.refusals.WithLabelValues(string(reason), string(refusal.Unknown))
	}
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "trestle", Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	options := prometheus.HistogramOpts{Namespace: "trestle", Name: name, Help: help, Buckets: latencyBuckets}
	return prometheus.NewHistogramVec(options, labels)
}

func (m *metrics) refused(refused *refusal.Error) {
	m.refusals.WithLabelValues(string(refused.Reason), string(refused.Outcome)).Inc()
}

// ended counts a request by its end.
func (m *metrics) ended(c *call, how end) {
	m.requests.WithLabelValues(c.class.Name, string(how)).Inc()
}

// waited observes how long a request waited for its first slot.
func (m *metrics) waited(c *call) {
	m.queueWait.WithLabelValues(c.class.Name).Observe(time.Since(c.arrived).Seconds())
}

// answered counts a whole answer.
func (m *metrics) answered(c *call, onTarget bool, first, end time.Time, tokens int) {
	label := strconv.FormatBool(onTarget)
	if onTarget {
		m.ended(c, endOnTarget)
	} else {
		m.ended(c, endLate)
	}
	m.answers.WithLabelValues(c.class.Name, label).Inc()
	m.tokens.WithLabelValues(c.class.Name, label).Add(float64(tokens))
	m.answerTime.WithLabelValues(c.class.Name).Observe(end.Sub(c.arrived).Seconds())
	if first.IsZero() {
		return
	}
	m.firstToken.WithLabelValues(c.class.Name).Observe(first.Sub(c.arrived).Seconds())
	if tokens > 1 {
		gap := end.Sub(first).Seconds() / float64(tokens-1)
		m.tokenGap.WithLabelValues(c.class.Name).Observe(gap)
	}
}
