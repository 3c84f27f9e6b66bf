package claim

import "strings"

// nameSeparator separates the fields of a lease holder's name, as in
// "vm-3/0192c1/10.0.0.3:8090".
const nameSeparator = "/"

// HolderName returns the name under which a process acquires leases: node, run ID and
// peer address. Nodes of other regions need the address, because their views do not
// include this node.
func HolderName(node, run, peerAddress string) string {
	return strings.Join([]string{node, run, peerAddress}, nameSeparator)
}

// parseHolderName returns the node and the peer address in a holder's name. The address
// is empty if the name has none.
func parseHolderName(holder string) (node, peerAddress string) {
	node, rest, _ := strings.Cut(holder, nameSeparator)
	_, peerAddress, _ = strings.Cut(rest, nameSeparator)
	return node, peerAddress
}
