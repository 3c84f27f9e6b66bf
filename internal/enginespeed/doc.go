// Package enginespeed estimates how fast an engine's replicas prefill prompts, from the times
// to first token that a node observes.
//
// The estimate follows the median, so replicas that stall and prompts that were unexpectedly
// cached have little effect on it. It includes whatever else delays the first token, such as
// decode steps between prefill steps and outdated load reports from other nodes. It starts
// from a typical engine's speed.
//
// The state is soft: a few numbers per upstream, guarded by the caller's lock. The package
// starts no goroutine and reads no clock.
package enginespeed
