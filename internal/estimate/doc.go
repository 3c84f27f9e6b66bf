// Package estimate estimates answer lengths and replica speed from observed requests.
//
// Its state is soft: a bounded number of sketches per workspace and class, evicted least
// recently used first, and rotated so that estimates follow changes. After a restart there are
// no estimates until enough answers have been observed; a missing estimate is not a reason to
// refuse a request. The package does not use the platform and is unaffected by its outages.
package estimate
