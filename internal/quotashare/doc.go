// Package quotashare divides each workspace's quota between the nodes. Each
// workspace has an owner node (rendezvous hashing over the serving members of
// the region); nodes that need more than a sliver of the quota state their
// demand to it and get a share in proportion. Holder and Owner are pure;
// Exchange drives both and carries demands over connect.
//
// It is soft state, bounded by the workspaces lately asked for times the
// region's nodes: a lost or doubled message, a changed owner or two owners at
// once cost accuracy only. It needs no platform. Without the owner a node takes
// one part in the number of serving nodes. Between regions the quota is divided
// by their numbers of serving nodes, without messages.
package quotashare
