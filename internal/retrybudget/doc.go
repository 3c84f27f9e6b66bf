// Package retrybudget bounds the attempts that a node adds to an upstream's
// load. All nodes of a deployment share one bound, a part of the requests plus
// a fixed allowance; each node spends from the part of its own requests and an
// equal share of the allowance, so that no message is needed.
//
// It holds soft state: counts of the last window, a few hundred bytes for each
// upstream. A node that restarts forgets what it has spent; the margin covers
// it. A platform outage does not touch it.
package retrybudget
