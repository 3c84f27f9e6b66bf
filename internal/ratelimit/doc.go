// Package ratelimit keeps the request rates that replicas name in their answers, each for
// all nodes together.
//
// It holds soft state, one entry for each replica that named a rate and is still registered.
// A platform outage does not touch it.
package ratelimit
