package routertest

import (
	"time"

	"galenatrestle/internal/router"
)

// Scenario configures a run.
type Scenario struct {
	Name string
	Seed uint64
	// Pools is the number of pools, which share the replicas and do not coordinate.
	Pools    int
	Replicas int
	// Slots is the initial limit of each pool at each replica.
	Slots int
	// Load is the offered slot time as a multiple of the capacity at the knee.
	Load float64
	// QuickLoadFactor multiplies the arrivals of class quick; zero means 1.
	QuickLoadFactor float64
	// ShortTimeoutFraction of the requests have a twentieth of their class's time limit.
	ShortTimeoutFraction float64
	// Duration is how long requests arrive.
	Duration time.Duration
	// Stragglers is the number of replicas that become ten times slower.
	Stragglers int
	// Stragglers are slow from StragglersFrom to StragglersUntil, or to the end if that is zero.
	StragglersFrom  time.Duration
	StragglersUntil time.Duration
	Disabled        router.DisabledFeatures
	// Clairvoyant replaces the pools by a reference scheduler that knows all lengths.
	Clairvoyant bool
}
