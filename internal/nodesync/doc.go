// Package nodesync exchanges soft state between nodes: the configuration, the replica
// listing, loads, placements, crashes, rate limits and the nodes themselves. A node
// that cannot read the platform's store gets the configuration and the listing from
// other nodes.
//
// Each node calls a few others several times a second: random ones in a small fleet,
// mostly hubs in a large one (docs/design/node-sync.md). One call carries the state of
// both sides. Messages contain ages instead of times, except for the wall time of the fleet
// clock. The caller subtracts the ages in a response from the start of its call, so that
// the configuration and the listing never look fresher than they are, regardless of clock
// differences, delays and pauses. The other node subtracts the ages in a request from its
// arrival.
//
// In a large fleet only hubs keep the whole replica listing; they tell each member the part
// that the nodes of its availability zone use.
//
// The state has one entry per node and is bounded by MaxNodes. The exchange works
// without the platform.
package nodesync
