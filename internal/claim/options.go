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

// Options are what a node's ledger is built from.
type Options struct {
	Policy Policy
	Store  platform.Store
	Leases Leases
	// View names this node, the live nodes and the preferred holders.
	View  membership.View
	Peers Peers
	// Registerer takes the counters.
	Registerer prometheus.Registerer
	Log        logrus.FieldLogger
	// Random jitters retries.
	Random *rand.Rand

	// WritesPerSecond bounds the platform writes of all shards together.
	WritesPerSecond float64
	// FlushInterval is the mean time between two writes of a busy shard while
	// fewer than GatherBytes wait. Negative: none.
	FlushInterval time.Duration
	// FlushBytes is how many bytes of changes are written without waiting for
	// GatherTime.
	FlushBytes int
	// BeginTimeout bounds one Begin where its context does not.
	BeginTimeout time.Duration
	// CallTimeout bounds one call to the platform or a peer.
	CallTimeout time.Duration
	// RetryInterval is the mean pause between tries.
	RetryInterval time.Duration
	// CheckInterval is the pause between looks at which shards to hold.
	CheckInterval time.Duration
	// MaxPending bounds the changes that wait for a write in one shard.
	MaxPending int
	// MaxQueuedOutcomes bounds the outcomes that wait to be recorded in the
	// background.
	MaxQueuedOutcomes int

	jitters *jitters
}

// The defaults of Options.
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

// writeBurst is the number of writes a shard may make at once when it has been
// idle.
const writeBurst = 4

// gatherBurst is the number of writes that an idle shard makes at once without
// gathering: one for a claim and one for its end.
const gatherBurst = 2

// gatherLimit returns the writes a second of a shard that gathers.
func (o Options) gatherLimit() rate.Limit {
	if o.FlushInterval < 0 {
		return rate.Inf
	}
	return rate.Every(o.FlushInterval)
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
	o.jitters = &jitters{random: o.Random}
	return o
}
