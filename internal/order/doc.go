// Package order sends orders to engines: load a model, unload one, or change the role. Only
// the holder of the pool's duty lease sends orders, with the lease epoch as fencing token.
//
// Engines that honour fencing reject an old holder themselves. For engines that ignore it,
// LeaseTiming separates two holders by time: a new holder waits for the old lease, the
// maximum clock error and the longest order in flight before its first order. The old
// holder stops before the end of its lease by its own monotonic clock, and a guard on the
// connection blocks writes after a process pause.
//
// The package keeps only the current grant, in memory; the platform stores the lease. In a
// platform outage the grant expires with the lease, and no order is sent until the lease is
// acquired or renewed again.
package order
