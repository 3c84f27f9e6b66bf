package claim

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"galenatrestle/internal/membership"
	"galenatrestle/internal/platform"
)

// Options configure a Node.
type Options struct {
	Policy Policy
	Store  platform.Store
	Leases Leases
	// View returns this node, the live nodes and the preferred holders.
	View  membership.View
	Peers Peers
	// Registerer registers the ledger's metrics.
	Registerer prometheus.Registerer
	Log        logrus.FieldLogger
	// Random is the source of retry jitter.
	Random *rand.Rand

	// WritesPerSecond limits the platform writes of all shards together.
	WritesPerSecond float64
	// FlushInterval is the mean time between two writes of a busy shard while fewer than
	// FlushBytes are pending. A negative value disables the delay.
	FlushInterval time.Duration
	// FlushBytes is the size of pending changes that are written without waiting for
	// FlushInterval.
	FlushBytes int
	// BeginTimeout limits a Begin or Lookup whose context has no deadline.
	BeginTimeout time.Duration
	// CallTimeout limits one call to the platform or a peer; repeats of a call get more time.
	CallTimeout time.Duration
	// RetryInterval is the mean pause between retries.
	RetryInterval time.Duration
	// CheckInterval is the mean time between checks of which shards to hold, and between
	// retries of queued outcomes.
	CheckInterval time.Duration
	// MaxPending is the number of changes waiting to be written at which a shard refuses
	// new claims. Outcomes are still accepted.
	MaxPending int
	// MaxQueuedOutcomes limits the outcomes queued for recording in the background.
	MaxQueuedOutcomes int

	jitter *jitterSource
}

// Defaults of Options.
const (
	DefaultWritesPerSecond   = 200
	DefaultFlushInterval     = 40 * time.Millisecond
	DefaultFlushBytes        = 8 << 10
	DefaultBeginTimeout      = 2 * time.Second
	DefaultCallTimeout       = 500 * time.Millisecond
	DefaultRetryInterval     = 50 * time.Millisecond
	DefaultCheckInterval     = time.Second
	DefaultMaxPending        = 10_000
	DefaultMaxQueuedOutcomes = 10_000
)

// writeBurst is the number of writes that an idle shard may send without rate limiting.
const writeBurst = 4

// flushBurst is the number of writes that an idle shard sends without batching: one for
// a claim and one for its outcome.
const flushBurst = 2

// flushLimit returns the rate limit of FlushInterval for one shard.
func (o Options) flushLimit() rate.Limit {
	if o.FlushInterval < 0 {
		return rate.Inf
	}
	return rate.Every(o.FlushInterval)
}

// maxTimeoutDoublings bounds how often the timeout of a repeated call is doubled.
const maxTimeoutDoublings = 2

// callTimeout returns the timeout of a call that was tried so many times before. A peer or
// platform that takes longer than CallTimeout would never answer if each try had the same.
func (o Options) callTimeout(tries int) time.Duration {
	return o.CallTimeout << min(tries, maxTimeoutDoublings)
}

func (o Options) withDefaults() Options {
	if o.Policy == (Policy{}) {
		o.Policy = DefaultPolicy()
	}
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, DefaultWritesPerSecond)
	o.FlushInterval = cmp.Or(o.FlushInterval, DefaultFlushInterval)
	o.FlushBytes = cmp.Or(o.FlushBytes, DefaultFlushBytes)
	o.BeginTimeout = cmp.Or(o.BeginTimeout, DefaultBeginTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.RetryInterval = cmp.Or(o.RetryInterval, DefaultRetryInterval)
	o.CheckInterval = cmp.Or(o.CheckInterval, DefaultCheckInterval)
	o.MaxPending = cmp.Or(o.MaxPending, DefaultMaxPending)
	o.MaxQueuedOutcomes = cmp.Or(o.MaxQueuedOutcomes, DefaultMaxQueuedOutcomes)
	if o.Registerer == nil {
		o.Registerer = prometheus.NewRegistry()
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Random == nil {
		seed := uuid.New()
		o.Random = rand.New(rand.NewChaCha8([32]byte(append(seed[:], seed[:]...))))
	}
	o.jitter = &jitterSource{random: o.Random}
	return o
}
