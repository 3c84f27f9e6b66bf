// Package placement chooses the replica for each request by the lowest
// expected cost: the prompt's prefill behind what is already being read there,
// the load, what is known of failures and silence, and the parts of the prompt
// that the replica's cache holds.
//
// The decisions are pure: they take the time and a random source. They hold
// soft state, one entry for each known replica, under a lock for each upstream.
// Losing it costs some prefill and a slower notice of failures. A platform
// outage does not touch it.
package placement
