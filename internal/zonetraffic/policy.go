package zonetraffic

import "math"

// Pair is an ordered pair of availability zones.
type Pair struct{ From, To string }

// Policy is what the operator sets.
type Policy struct {
	// RequestsPerGigabyte is the number of requests on time that a gigabyte between zones is worth.
	RequestsPerGigabyte float64
	// MaxShare caps the part of a flow that leaves because of load.
	MaxShare float64
	// Forbidden are the pairs between which nothing is sent.
	Forbidden []Pair
	// CopyBytesPerToken is the size of a cached token that is copied between replicas; zero: copies
	// are not charged.
	CopyBytesPerToken float64
}

const (
	// requestValueMS is what a request on time is worth, in milliseconds of latency. It is the default
	// cost of a missed objective.
	requestValueMS = 3000.0
	bytesPerGB     = 1e9
)

// BytesMS returns the price of the bytes in milliseconds of latency.
func (p *Policy) BytesMS(bytes float64) float64 {
	return bytes / bytesPerGB * p.RequestsPerGigabyte * requestValueMS
}

// Forbids reports whether nothing may be sent from one zone to the other.
func (p *Policy) Forbids(from, to string) bool {
	for _, pair := range p.Forbidden {
		if pair.From == from && pair.To == to {
			return true
		}
	}
	return false
}

// LeaveMS returns the cost, in milliseconds, of a request that moves the bytes to another zone; +Inf if
// the pair is forbidden. It answers a load that every zone could serve: then all that leaves is waste.
func (p *Policy) LeaveMS(from, to string, roundTripMS, bytes float64) float64 {
	if p.Forbids(from, to) {
		return math.Inf(1)
	}
	return roundTripMS + p.BytesMS(bytes)
}
