// Package routesource holds the routing table in force at a node and the proof
// of its freshness: the latest instant at which it is known to have been the
// newest one.
//
// The table is a copy of hard state in the platform's store. Within the life of
// a process it never goes back to an older version. In an outage it stays in
// force, and its proof grows old; whoever must know that a key was not revoked
// asks for the proof's age.
package routesource
