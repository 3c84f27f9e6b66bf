// Package quarantine finds requests that crash the upstreams which run them.
//
// A crash makes every request that ran on the replica a suspect. A suspect
// runs again only where no other suspect runs, so that a second crash names
// one of them: that one is quarantined for a bounded, growing time. A suspect
// that finishes is cleared.
//
// The decisions are pure: they take the time and start nothing. They hold soft
// state only: at most Options.MaxRecords records under one lock, which a
// request without any suspicion around does not take. Losing them costs a
// further crash or two. Records spread between nodes by a merge that is
// commutative and idempotent. A platform outage changes nothing here.
package quarantine
