// Package fleettime is the time of day on which the nodes of a fleet agree well enough to
// count by it: the median of what their clocks say. One clock that is wrong, or is set
// forward or back by seconds, does not move it.
//
// It holds soft state: the newest offset of each node that was heard of lately. A platform
// outage does not touch it.
package fleettime
