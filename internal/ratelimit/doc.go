// Package ratelimit enforces, across all nodes, what replicas announce in their responses of the
// requests that they take: a rate, and that they are brittle. A brittle replica ends if it has to
// refuse too many requests in a second for want of room.
//
// Nodes replicate the announced limits among each other (package nodesync). For each limited
// replica one node issues permits, at the announced rate, and no more at once than a brittle replica
// has slots. A request needs a permit to be sent to such a replica, and goes to another replica
// without one; where no brittle replica has a free slot it waits for a moment. Exchange is the RPC
// between nodes.
//
// State is in memory, one entry for each registered replica that announced a limit and for each of
// its slots in use, and does not depend on the platform. While the issuer is unreachable there are no
// permits. A new issuer starts with an empty bucket, and gives out slots more and more, until it knows
// those in use.
package ratelimit
