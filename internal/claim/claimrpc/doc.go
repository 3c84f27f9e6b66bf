// Package claimrpc transports claims between nodes over connect-go: a client that
// forwards requests to a shard's holder, and the handler that serves them. It keeps no
// claims and does not use the platform, so forwarding continues in a platform outage.
package claimrpc
