// Package soak runs the real program as separate processes on one machine, and
// injects faults from outside: connections that are delayed, reset, cut one way
// or silenced by proxies, processes that are stopped, paused, killed and restarted
// by signals, and a store that is slow or down. What callers and replicas see is
// checked against the promises. Only a machine's loopback addresses are used, and
// only processes that the run itself started are signalled, by their ids.
//
// It is not part of a deployment.
package soak
