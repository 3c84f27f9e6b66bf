// Package replicaconn holds a node's HTTP/1.1 connections to replicas, and runs
// one request at a time on each. Parsing is net/http's. It has no transport of
// net/http's, since that repeats a request by itself on a reused connection
// and does not say whether a byte was handed to the socket, on which "was not
// run" depends.
//
// It is soft state: idle connections, bounded for each replica. A platform
// outage does not touch it.
package replicaconn
