// Package dispatch drives the pure decisions of package router: it keeps one
// pool a upstream, each under a lock of its own, gives it the time, and wakes
// the requests that the pool has bound or refused.
//
// It holds soft state: the requests that wait at or run through this node. It
// is bounded by the classes' queue bounds, and a platform outage does not
// touch it.
package dispatch
