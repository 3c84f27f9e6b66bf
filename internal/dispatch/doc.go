// Package dispatch carries out the scheduling decisions of package router. It has one pool per
// upstream, each with its own lock, and wakes the requests that a pool has bound to a replica
// or refused.
//
// Its state is the requests waiting or running at this node, in memory.
package dispatch
