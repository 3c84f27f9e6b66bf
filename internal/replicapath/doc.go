// Package replicapath opens connections to replicas: directly, or through another node while this
// one reaches no replica itself.
//
// A node may be cut off from all replicas while callers, the platform's store and the other nodes
// still reach it. The package notices that by connections that fail and by requests that nothing
// answers, and checks it by connecting to further replicas, so that a few replicas that are down
// are not taken for a lost path. Until a connection succeeds again, other nodes carry the
// connections.
//
// State is in memory: whether the path is lost, the failed addresses since the last success, and
// which nodes can't help. It needs no platform.
package replicapath
