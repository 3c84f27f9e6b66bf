// Package passthrough is the callers' side of a deployment whose routes are
// given by host and path prefix: it checks a request against the routing table
// and hands it on unchanged.
//
// It holds soft state, the number of requests in flight. A key is accepted only
// while the table's proof of freshness is young enough that the key cannot have
// been revoked for longer than the deployment allows; past that, in an outage of
// the platform, requests with keys are refused as not run.
package passthrough
