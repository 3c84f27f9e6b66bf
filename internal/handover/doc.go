// Package handover moves the service of a set (upstreams or workspaces) from
// this data centre's system to that of another, and back.
//
// The invariant is seal before open: at no time do both sides start work of one
// set. Source and Target are pure state machines; Driver persists their states
// and carries out their actions; Gate tells the data path of one node whether
// it may start work of a set.
//
// Hard state, in each side's own platform service: one Move record a move,
// changed only by compare-and-swap, and one registration a node. Soft state, in
// the driver's memory: which nodes have acknowledged, bounded by the number of
// nodes; a driver that starts collects it anew. Soft state, in each Gate: the
// moves it knows and the term of its permission.
//
// In a platform outage a node goes on serving what it serves: without a move
// in progress its permission has no term, and while nodes are armed the driver
// gives permits from memory. Only a seal whose answer is lost stops the set
// until the platform answers.
package handover
