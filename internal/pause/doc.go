// Package pause keeps the pauses that replicas ask this node for. A replica that refuses a request
// with a Retry-After wants no request from this node until that time has passed. Other nodes have
// pauses of their own, so nothing is exchanged between nodes.
package pause
