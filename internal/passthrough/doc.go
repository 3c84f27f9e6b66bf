// Package passthrough is the HTTP handler for callers in a deployment that routes by
// host and path prefix. It checks requests against the routing table and forwards them
// unchanged.
//
// State is in memory: the number of requests in flight. A key is accepted only while the
// routing table is known to be recent enough that the key cannot have been revoked for
// longer than Bounds.RevokeAfter. If a platform outage lasts longer than that, requests
// to routes that need a key are refused.
package passthrough
