// Package replica is a node's view of the registered replicas of all upstreams: their
// addresses, zones, and whether they are draining.
//
// It is soft state, a copy of the registrations in the platform's store as of a revision.
// During an outage of the store the last copy stays in use. Registrations may expire during an
// outage and return after it, so a replica that is missing right after an outage is kept for a
// short grace period.
package replica
