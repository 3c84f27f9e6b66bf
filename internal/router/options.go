package router

import (
	"math/rand/v2"
	"time"

	"galenatrestle/internal/config"
)

// Defaults of Options and of class settings, and bounds of RetryAfter.
const (
	defaultSlots       = 8
	defaultQueueBound  = 1000
	defaultMaxWaiting  = 4000
	initialCacheSaving = 0.5
	minRetryAfter      = time.Second
	maxRetryAfter      = time.Minute
)

// Options configures NewPool.
type Options struct {
	// Upstream is the name of the upstream that the pool serves.
	Upstream string
	// AvailabilityZone is the zone of this node.
	AvailabilityZone string
	// Rand is the source of random choices. Default: a fixed seed.
	Rand *rand.Rand
	// Classes, Replicas and Weights are the initial configuration. Weights are the fair-share
	// weights of the workspaces; a missing one counts as 1.
	Classes  []config.Class
	Replicas []Replica
	Weights  map[string]float64
	// MaxWaiting bounds the waiting requests of all classes together. Default 4000.
	MaxWaiting int
	// MaxSketches bounds the length estimates. Default estimate.DefaultMaxSketches.
	MaxSketches int
	// Disabled turns off parts of the decision logic, for measurements.
	Disabled DisabledFeatures
}

func (o Options) withDefaults() Options {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(1, 2))
	}
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	return o
}
