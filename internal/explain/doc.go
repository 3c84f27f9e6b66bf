// Package explain keeps what happened to each request of a node, and why, for
// the operator who asks later: its timeline, as typed events.
//
// It holds soft state: the timelines, in shards, bounded in counted bytes; the
// oldest are evicted. They are in this process's memory alone and are lost
// with it, when the node stops, crashes or is replaced. A platform outage does
// not touch them.
package explain
