// Package order sends orders to engines: load, unload, change of role. An
// order leaves only from the holder of the pool's duty lease, with the lease's
// epoch as fencing number.
//
// Engines that honour fencing refuse an old holder themselves. For those that
// ignore it, Discipline keeps two holders apart by time: a new holder waits out
// the old lease, the largest clock error and the longest order in flight before
// its first order; the old one stops by its own monotonic clock well before the
// end, and a guard on the connection itself stops a write after a pause.
//
// It holds soft state only (the grant this process has); the lease is hard
// state of the platform's service. In a platform outage a grant runs out after
// its lease's length and no order leaves until it is granted again.
package order
