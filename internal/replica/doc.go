// Package replica keeps a node's copy of the registered replicas of all upstreams: their
// addresses, zones, and whether they are draining.
//
// In a large fleet a node uses, and most nodes keep, only a part of the replicas of a large
// upstream, the same part as the other nodes of its availability zone.
//
// The copy is soft state: the registrations in the platform's store as of a revision.
// During an outage of the store the last copy stays in use. Registrations may expire during an
// outage and return after it, so a replica that is missing right after an outage is kept for a
// short grace period.
package replica
