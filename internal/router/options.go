package router

import (
	"math/rand/v2"
	"time"

	"galenatrestle/internal/config"
)

// Defaults of the options and of the classes' settings.
const (
	defaultSlots      = 8
	defaultQueueBound = 1000
	defaultMaxWaiting = 4000
	usualGain         = 0.5
	minRetryAfter     = time.Second
	maxRetryAfter     = time.Minute
)

// Options are what a Pool is created with.
type Options struct {
	// Upstream the pool decides for.
	Upstream string
	// AvailabilityZone of this node.
	AvailabilityZone string
	// Rand is the source of the pool's random choices; nil takes a fixed seed.
	Rand *rand.Rand
	// Classes, Replicas and Weights are the configuration to start with.
	// Weights holds the workspaces' fair shares; 1 where one is missing.
	Classes  []config.Class
	Replicas []Replica
	Weights  map[string]float64
	// MaxWaiting bounds the waiting requests of all classes together. Default
	// 4000.
	MaxWaiting int
	// MaxSketches bounds the length estimates kept by workspace; zero takes
	// estimate.DefaultMaxSketches.
	MaxSketches int
	// Disabled takes decisions out, for measurements.
	Disabled Features
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
