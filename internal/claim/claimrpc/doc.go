// Package claimrpc carries claims between nodes over connect-go: a client that
// forwards to a shard's holder, and the handler that the holder serves. It
// holds no state; in a platform outage it goes on forwarding.
package claimrpc
