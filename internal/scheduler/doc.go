// Package scheduler orders the waiting requests of one pool: by tier, within a
// tier by slack, within a class by the workspaces' weighted fair share, with a
// minimum share of the slots for classes whose oldest request waited too long.
//
// It is pure: the time is passed in, and there is no I/O, goroutine or lock. It
// holds soft state, bounded by a small multiple of the waiting requests; losing
// it costs the waiting requests of one node only. A platform outage does not
// touch it.
package scheduler
