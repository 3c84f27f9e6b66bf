// Package ratelimit keeps all nodes together to the request rates that replicas name in
// their answers.
//
// What a replica named spreads between the nodes (package nodesync). For each such replica
// one node issues permits at the rate named; a request that would go there asks it for one,
// and without one goes elsewhere. Table, Issuer and Permits decide; Exchange carries asks.
//
// It holds soft state, one entry for each replica that named a rate and is still registered.
// A platform outage does not touch it. Without the issuer there are no permits; a new issuer
// begins with none to give.
package ratelimit
