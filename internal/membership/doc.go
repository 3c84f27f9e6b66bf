// Package membership keeps each node's picture of the other nodes: who is
// there, in which availability zone, how loaded, at which configuration
// revision, and whether leaving.
//
// It is soft state: it may be lost or stale at any time, and being wrong costs
// efficiency, never a promise.
package membership
