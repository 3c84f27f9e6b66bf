// Package drain tells the nodes of a data centre what work each of them has,
// and takes nodes and replicas out of service: its actors carry out the steps
// of the plans `drain VM` and `drain replica`.
//
// The mark on a replica is hard state: it is part of the configuration, from
// which package leaving spreads it. That a node is withdrawn is soft state of
// that node: the plan says it again where the node has started anew. In a
// platform outage a drained replica stays drained and the plan stands still.
package drain
