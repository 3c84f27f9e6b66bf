// Package concurrency adapts how many requests a node runs at a replica. The limit grows while
// the time between tokens is close to that of an idle replica, and shrinks when it rises.
//
// It does no I/O and keeps a few numbers per replica in memory; if they are lost, the limit
// restarts at the configured slots.
package concurrency
