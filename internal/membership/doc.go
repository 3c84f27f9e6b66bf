// Package membership maintains each node's view of the other nodes: their
// availability zones, load, configuration revisions and whether they are leaving.
//
// Table implements the SWIM protocol without I/O: random probes, indirect probes,
// suspicion before removal, refutation by incarnation, and gossip piggybacked on
// the probes. Runner runs a Table over Connect RPC. A node has the members of its own
// region and a summary of each other region, which a few members of each region, its
// relays, exchange. Notes are small versioned values that other packages send to all
// members of the region.
//
// The state is soft: it may be lost or stale at any time. Errors in it cost
// efficiency but must not affect correctness. It is limited to MaxMembers members,
// MaxNotes notes and MaxRegions regions. During an outage of the platform the
// known members stay; only new seeds from the platform's list are missing.
package membership
