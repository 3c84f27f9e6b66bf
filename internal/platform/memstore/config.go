package memstore

import "cmp"

// Config holds the rates and bounds of the store. A zero field means its
// default.
type Config struct {
	// WritesPerSecond bounds writes and lease calls.
	WritesPerSecond float64
	// ReadsPerSecond bounds gets, lists, watches and instance lists.
	ReadsPerSecond float64
	// WeightsPerSecond bounds reservations of the weight store.
	WeightsPerSecond float64
	// LogEvents is the number of events the watch log keeps.
	LogEvents int
	// LogBytes is the size in bytes of the values the watch log keeps.
	LogBytes int
	// Seed feeds the choice of answers to lose.
	Seed uint64
}

// The defaults of Config.
const (
	DefaultWritesPerSecond  = 400
	DefaultReadsPerSecond   = 2000
	DefaultWeightsPerSecond = 1
	DefaultLogEvents        = 4096
	DefaultLogBytes         = 16 << 20
)

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	c.WritesPerSecond = cmp.Or(c.WritesPerSecond, DefaultWritesPerSecond)
	c.ReadsPerSecond = cmp.Or(c.ReadsPerSecond, DefaultReadsPerSecond)
	c.WeightsPerSecond = cmp.Or(c.WeightsPerSecond, DefaultWeightsPerSecond)
	c.LogEvents = cmp.Or(c.LogEvents, DefaultLogEvents)
	c.LogBytes = cmp.Or(c.LogBytes, DefaultLogBytes)
	return c
}
