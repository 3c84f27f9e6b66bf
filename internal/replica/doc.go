// Package replica holds what a node knows of the replicas that upstreams have
// registered: which there are, where, and which of them are leaving.
//
// It is soft state, a copy of the registrations in the platform's store as of
// a revision. In an outage of the store the last copy stays in use; a replica
// that is missing right after the outage is kept for a short time, since
// registrations lapse while the store is away and come back after it.
package replica
