// Package membership keeps each node's picture of the other nodes: who is
// there, in which availability zone, how loaded, at which configuration
// revision, and whether leaving.
//
// Table is the pure protocol (SWIM: random probes, indirect probes, suspicion
// before removal, refutation by incarnation, changes carried on the probes);
// Runner drives it over connect. A node knows its own region in full and each
// other region by a summary.
//
// It is soft state: it may be lost or stale at any time, and being wrong costs
// efficiency, never a promise. It is bounded by MaxMembers members, MaxNotes
// notes and MaxRegions summaries. In a platform outage it goes on with the
// members it knows; only new seeds stop coming.
package membership
