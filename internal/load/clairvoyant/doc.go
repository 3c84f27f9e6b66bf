// Package clairvoyant works out offline what one queue before all slots would
// reach with the same arrivals, were all lengths known: the order to compare
// measured runs with. It knows no nodes, no network and no faults, so that a
// measured figure as a share of its own says what the rest costs.
//
// It is pure and holds no state. A platform outage does not touch it.
package clairvoyant
