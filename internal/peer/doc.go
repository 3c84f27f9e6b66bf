// Package peer is the link between the system's own nodes: one listener a node
// (HTTP/2 over mutual TLS, or without keys in development) on which other
// packages mount their connect handlers, and a pool of HTTP clients by peer
// address.
//
// It is soft state: open connections and the key files as last read. It is
// bounded by Settings.MaxPeers clients of Settings.MaxConnections connections
// each. It needs no platform: links between nodes live through any outage.
package peer
