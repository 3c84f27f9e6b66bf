// Package edge runs a node that serves pass-through routes: the entry listener, the
// readiness and resolve endpoints, the readers of the platform's store, and the
// exchange with the other nodes.
//
// Durable data lives in the platform's store; everything here is a copy or soft state.
// During a store outage a node serves from its copies until the last proof that no key
// has been revoked exceeds its maximum age.
package edge
