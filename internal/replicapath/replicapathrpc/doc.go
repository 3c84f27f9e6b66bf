// Package replicapathrpc carries connections to replicas between nodes, for nodes that reach no
// replica themselves. Each connection is one stream between the two nodes.
//
// State is in memory: the open connections. It is bounded by the connections that nodes may have to
// replicas. It needs no platform.
package replicapathrpc
