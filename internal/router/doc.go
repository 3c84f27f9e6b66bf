// Package router decides, for one node and one upstream, which waiting request
// runs next and on which replica. It is pure: no I/O, no goroutine, no wall
// clock. Callers pass the time, and the random source is given at creation, so
// that the same code runs in the node, the tests and the load tool.
//
// It holds soft state, bounded by the classes' queue bounds and the number of
// replicas; losing it costs the requests of one node only. A Pool is not safe
// for concurrent use: package dispatch keeps one under a lock of its own for
// each upstream.
package router
