package routertest

import (
	"time"

	"galenatrestle/internal/router"
)

// Scenario describes one run.
type Scenario struct {
	Name string
	// Seed of the arrivals and of the pools' choices.
	Seed uint64
	// Pools that decide without coordination.
	Pools    int
	Replicas int
	// Slots is the limit each pool starts with at each replica.
	Slots int
	// Load is the offered slot time as a multiple of the capacity at the knee.
	Load float64
	// QuickLoadFactor multiplies the quick class's arrivals; zero means 1.
	QuickLoadFactor float64
	// ShortTimeoutFraction is the part of the requests whose callers wait only a twentieth
	// of their class's time.
	ShortTimeoutFraction float64
	// Duration of the arrivals; the run ends when all requests have ended.
	Duration time.Duration
	// Stragglers are this many replicas that are ten times slower.
	Stragglers int
	// StragglersFrom and StragglersUntil are when they are so; a zero
	// StragglersUntil is never ended.
	StragglersFrom  time.Duration
	StragglersUntil time.Duration
	// Disabled takes proposals out of the pools.
	Disabled router.Features
	// Clairvoyant runs the order of known lengths in place of the pools.
	Clairvoyant bool
}
