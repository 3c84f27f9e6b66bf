package claim

import "strings"

// nameSeparator parts the fields of a lease holder's name, as in
// "vm-3/0192c1/10.0.0.3:8090".
const nameSeparator = "/"

// HolderName returns the name under which a node's run takes leases: the node,
// the run's id, and the peer address, by which nodes of other regions, which do
// not know the node as a member, find it.
func HolderName(node, run, peerAddress string) string {
	return strings.Join([]string{node, run, peerAddress}, nameSeparator)
}

// readHolder returns the node and the peer address in a holder's name. The
// address is empty in a name without one.
func readHolder(holder string) (node, peerAddress string) {
	node, rest, _ := strings.Cut(holder, nameSeparator)
	_, peerAddress, _ = strings.Cut(rest, nameSeparator)
	return node, peerAddress
}
