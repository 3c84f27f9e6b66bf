// Package credit divides the concurrency slots of replicas between nodes. Each
// replica has an owner node, chosen by rendezvous hashing over the serving
// members. Nodes send asks to the owner and receive leases on slots, highest tier
// and least slack first. Owner and Wallet do no I/O; Exchange sends the asks over
// connect.
//
// State is in memory and bounded by replicas times nodes of the region. Lost or
// duplicated messages, owner changes and two concurrent owners only reduce
// efficiency, since each node still enforces the replica's limit. The platform is
// not needed. If the owner is unreachable, a node uses an equal part of the limit.
package credit
