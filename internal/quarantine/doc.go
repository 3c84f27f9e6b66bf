// Package quarantine detects requests that crash the upstreams that run them.
//
// A crash makes every request that ran on the replica a suspect. A suspect is
// retried only on a replica without another suspect, so that a second crash
// identifies its cause, which is quarantined for a bounded time that grows at
// each quarantine. A suspect that finishes is cleared.
//
// Decisions take the time as an argument and start no goroutines. All state is
// soft: at most the tracker's limit of records under one lock, which is not
// taken while there are no records. Losing it costs a further crash or two.
// Nodes exchange records by a commutative and idempotent merge. A platform
// outage has no effect here.
package quarantine
