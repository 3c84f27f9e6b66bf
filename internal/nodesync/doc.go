// Package nodesync spreads what nodes know between them, so that a node which
// the platform's store turns away learns of configurations and replicas from
// the others, and so that all see each other's load and failures.
//
// Each node asks a few others several times a second: drawn at random in a small
// fleet, mostly hubs in a large one (docs/design/node-sync.md); one call carries both
// sides' state. Ages are told in place of times, and counted
// from the start of the call that brought them, so that what is believed is
// never fresher than the truth, whatever the clocks and however long a node
// stood still.
//
// It holds soft state: one entry a node, bounded by MaxNodes. A platform outage
// does not touch it.
package nodesync
