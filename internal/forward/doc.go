// Package forward sends a validated call to a replica, forwards the response to
// the caller, and decides whether a failed attempt is retried. It is independent
// of the wire format, which a Codec defines.
//
// A caller is told that its call did not run only if no byte of it reached a
// replica, or if every replica that received it reported that it did not run it.
//
// A replica that is silent is not taken for failed: its attempt goes on until another replica has taken the call up.
//
// The only state is that of calls in flight, kept in memory. The package does not
// use the platform, so a platform outage does not affect it.
package forward
