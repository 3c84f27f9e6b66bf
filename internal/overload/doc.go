// Package overload decides which requests for an engine are turned away, and when
// their callers should come back.
//
// It answers the load pattern in which prompts come faster than the replicas read
// them: a burst of long prompts, or cold caches after a start. Queues then grow
// until nothing is on time. A request that would wait too long is refused at once,
// before it costs anything, so that those that are let in are still of use; and
// while a request of some rank is refused, those of less urgent ranks are too.
//
// The decisions are pure: they take the time. They hold soft state, a few times for
// each upstream under a lock each. A platform outage does not touch it.
package overload
