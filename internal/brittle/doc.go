// Package brittle keeps which replicas say that they are brittle. Such a replica ends if it has to
// refuse too many requests in a second for want of room.
//
// A node uses no more than its share of the slots of a brittle replica. While it may not know all nodes,
// it uses none if all are taken by the loads that the others report. After a refusal it leaves the replica alone for so long that all
// nodes together stay within the refusals that it bears. State is in memory and bounded by the replicas
// that are brittle.
package brittle
