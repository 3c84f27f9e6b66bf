package route

import (
	"maps"
	"slices"
	"time"
)

// Upstream is what the operator says of the replicas of one upstream.
type Upstream struct {
	Name string
	// HealthPath answers 200 while a replica is well.
	HealthPath string
	// MaxConnections is what one replica accepts of all nodes together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil where the number of replicas is not this system's to order.
	Scaling *Scaling
}

// Scaling is what the platform says of ordering an upstream's replicas.
type Scaling struct {
	// Min and Max bound the replicas of one availability zone, of both kinds together.
	Min, Max int
	// Boot is the time from an order until a new replica serves.
	Boot time.Duration
	// ReclaimablePrice is the part of a replica's price that one costs which may be
	// taken away; zero: there are none.
	ReclaimablePrice float64
	// ZonePrices are what a replica costs in each availability zone in which it may run,
	// against each other.
	ZonePrices map[string]float64
}

// Price is what a replica costs in the availability zone.
func (s *Scaling) Price(zone string) float64 { return s.ZonePrices[zone] }

// Engine describes the replicas of a model.
type Engine struct {
	// Slots is the number of requests that one replica runs at once.
	Slots int
	// MemoryTokens bounds the tokens of running requests and cached prompts.
	MemoryTokens int
	// CopiesPrompts says that a replica can copy what another one has cached of a
	// prompt.
	CopiesPrompts bool
}

// Zones are the availability zones in which a replica may run, by name.
func (s *Scaling) Zones() []string { return slices.Sorted(maps.Keys(s.ZonePrices)) }
