// Package router decides, for one node and one upstream, which waiting request
// runs next and on which replica. It has no I/O, starts no goroutines and does not
// read the clock: callers pass the time and the random source, so that the same
// code runs in the node, in tests and in the load tool.
//
// The state is in memory only and bounded by the queue bounds of the classes and
// the number of replicas; losing it affects only the requests of one node. A Pool
// is not safe for concurrent use; package dispatch guards the pool of each upstream
// with a mutex.
package router
