package placement

import (
	"time"

	"galenatrestle/internal/zonetraffic"
)

// ZoneTraffic decides which requests leave this node's availability zone.
type ZoneTraffic struct {
	Policy zonetraffic.Policy
	// RoundTrips are the learned network latencies between zones.
	RoundTrips *zonetraffic.RoundTrips
	// Metrics and OnChange may be nil.
	Metrics  *zonetraffic.Metrics
	OnChange func(upstream, flow string, c zonetraffic.Change)
}

// SetZoneTraffic replaces the constant cost of other zones by these decisions. Call it before the first
// Choose.
func (p *Placer) SetZoneTraffic(t *ZoneTraffic) { p.zoneTraffic = t }

// SetZoneCost replaces the default constant cost of other zones, to compare it with SetZoneTraffic. Call
// it before the first Choose.
func (p *Placer) SetZoneCost(ms float64) { p.zoneCost = ms }

// ObserveConnect records the time to establish a connection to a replica's address.
func (p *Placer) ObserveConnect(address string, took time.Duration) {
	if p.zoneTraffic == nil {
		return
	}
	listing, _ := p.replicas.Latest()
	for i := range listing.Replicas {
		if r := &listing.Replicas[i]; r.Address == address {
			p.zoneTraffic.RoundTrips.Observe(r.AvailabilityZone, took)
			return
		}
	}
}

// CountAnswer records bytes of the answer that were received.
func (a *Attempt) CountAnswer(bytes int) { a.answerBytes += bytes }

// ZoneShare returns the part of the upstream's flow of long or short prompts that may leave for the zone.
func (p *Placer) ZoneShare(upstream, zone string, long bool) float64 {
	u := p.upstream(upstream)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.zones == nil {
		return 0
	}
	return u.zones.flowOf(long).flow.Share(zone)
}
