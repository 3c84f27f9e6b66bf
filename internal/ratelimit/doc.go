// Package ratelimit enforces, across all nodes, the request rates that replicas announce in
// their responses.
//
// Nodes replicate the announced limits among each other (package nodesync). For each limited
// replica one node issues permits at the announced rate. A request needs a permit to be sent
// to such a replica, and goes to another replica without one. Exchange is the RPC between
// nodes.
//
// State is in memory, one entry for each registered replica that announced a rate, and does
// not depend on the platform. While the issuer is unreachable there are no permits. A new
// issuer starts with an empty bucket.
package ratelimit
