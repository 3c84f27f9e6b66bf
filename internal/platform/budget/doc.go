// Package budget keeps each duty's calls to the platform within a rate of its
// own, so that one duty's trouble takes no other's calls, and counts them by
// duty, kind and result. Backoff spaces reconnects after failures.
//
// It holds soft state: one token bucket a duty. In a platform outage calls go
// through and fail as before; the budget bounds how many are tried.
package budget
