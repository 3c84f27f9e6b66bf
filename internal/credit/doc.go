// Package credit shares the replicas' slots between nodes. Each replica has an
// owner node (rendezvous hashing over the serving members); the others state
// their needs to it and get a number of slots for a time. Slots go to the
// highest tier and the least slack among all nodes. Owner and Wallet are pure;
// Exchange carries asks over connect.
//
// It is soft state, bounded by the region's replicas times its nodes: a lost or
// doubled message, a changed owner or two owners at once cost efficiency only,
// since each replica's own limit still holds at each node. It needs no
// platform; without the owner a node takes its fair part of the limit.
package credit
