// Package replicaconn implements a pool of HTTP/1.1 connections to replicas, with one
// request at a time on each connection. It does not use http.Transport, which retries
// requests on reused connections by itself and does not report whether any byte was
// written to the socket. A request is known not to be executed only if no byte of it was
// written.
//
// State is in memory: a bounded number of idle connections per replica. It does not
// depend on the platform.
package replicaconn
