package zonetraffic

import (
	"sync"
	"time"
)

const (
	// DefaultRoundTripMS is the additional round-trip time to another zone until it is known.
	DefaultRoundTripMS = 3.0
	// maxRoundTripMS bounds what is learned, so that a faulty link does not look like a distance.
	maxRoundTripMS = 50.0
	// minTripSamples is the number of connections from which a zone's time counts as known.
	minTripSamples = 5
	// A connection that took longer than the estimate was probably delayed at one end, so it counts
	// less than one that was faster.
	fasterWeight, slowerWeight = 0.3, 0.03
)

// RoundTrips learns the network round-trip time to each zone from the time that connections take to
// establish. It is safe for concurrent use.
type RoundTrips struct {
	mu    sync.Mutex
	zones map[string]*trip
}

type trip struct {
	ms      float64
	samples int
}

// Observe records the time to establish a connection to a replica in the zone.
func (t *RoundTrips) Observe(zone string, took time.Duration) {
	ms := min(took.Seconds()*1e3, maxRoundTripMS)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.zones == nil {
		t.zones = make(map[string]*trip)
	}
	z, known := t.zones[zone]
	if !known {
		z = &trip{ms: ms}
		t.zones[zone] = z
	}
	weight := slowerWeight
	if ms < z.ms {
		weight = fasterWeight
	}
	z.ms += weight * (ms - z.ms)
	z.samples++
}

// ExtraMS returns by how much, in milliseconds, a round trip from the home zone to the other one is
// longer than one within the home zone.
func (t *RoundTrips) ExtraMS(home, zone string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	own, away := t.zones[home], t.zones[zone]
	if own == nil || away == nil || own.samples < minTripSamples || away.samples < minTripSamples {
		return DefaultRoundTripMS
	}
	return max(away.ms-own.ms, 0)
}
