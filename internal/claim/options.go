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
	// GatherTime is the mean time between two writes of a busy shard while
	// fewer than GatherBytes wait. Negative: none.
	GatherTime time.Duration
	// GatherBytes is how many bytes of changes are written without waiting for
	// GatherTime.
	GatherBytes int
	// BeginTimeout bounds one Begin where its context does not.
	BeginTimeout time.Duration
	// CallTimeout bounds one call to the platform or a peer.
	CallTimeout time.Duration
	// RetryInterval is the mean pause between tries.
	RetryInterval time.Duration
	// TendInterval is the pause between looks at which shards to hold.
	TendInterval time.Duration
	// MaxPending bounds the changes that wait for a write in one shard.
	MaxPending int
	// MaxUnfinished bounds the outcomes that wait to be recorded in the
	// background.
	MaxUnfinished int

	jitters *jitters
}

// The defaults of Options.
const (
	DefaultWritesPerSecond = 200
	DefaultGatherTime      = 40 * time.Millisecond
	DefaultGatherBytes     = 8 << 10
	DefaultBeginTimeout    = 2 * time.Second
	DefaultCallTimeout     = 500 * time.Millisecond
	DefaultRetryInterval   = 50 * time.Millisecond
	DefaultTendInterval    = time.Second
	DefaultMaxPending      = 10_000
	DefaultMaxUnfinished   = 10_000
)

// writeBurst is the number of writes a shard may make at once when it has been
// idle.
const writeBurst = 4

// gatherBurst is the number of writes that an idle shard makes at once without
// gathering: one for a claim and one for its end.
const gatherBurst = 2

// gatherLimit returns the writes a second of a shard that gathers.
func (o Options) gatherLimit() rate.Limit {
	if o.GatherTime < 0 {
		return rate.Inf
	}
	return rate.Every(o.GatherTime)
}

func (o Options) withDefaults() Options {
	if o.Policy == (Policy{}) {
		o.Policy = DefaultPolicy()
	}
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, DefaultWritesPerSecond)
	o.GatherTime = cmp.Or(o.GatherTime, DefaultGatherTime)
	o.GatherBytes = cmp.Or(o.GatherBytes, DefaultGatherBytes)
	o.BeginTimeout = cmp.Or(o.BeginTimeout, DefaultBeginTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	o.RetryInterval = cmp.Or(o.RetryInterval, DefaultRetryInterval)
	o.TendInterval = cmp.Or(o.TendInterval, DefaultTendInterval)
	o.MaxPending = cmp.Or(o.MaxPending, DefaultMaxPending)
	o.MaxUnfinished = cmp.Or(o.MaxUnfinished, DefaultMaxUnfinished)
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
