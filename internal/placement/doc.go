// Package placement chooses a replica for each request by lowest expected cost: the time to
// prefill the prompt behind the prefills already queued there, load, recent failures and
// unresponsiveness, and the parts of the prompt that the replica has cached.
//
// Decisions depend only on their inputs, the time and a random source. The state is soft, one
// entry per known replica, guarded by a lock per upstream. Losing it costs some repeated
// prefill and slower detection of failures. The package does not use the platform and is
// unaffected by its outages.
package placement
