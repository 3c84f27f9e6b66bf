package claim

import (
	"errors"
	"strings"

	"galenatrestle/internal/platform"
)

// runSeparator parts a node's name from the id of its process's run in the name
// of a lease's holder, as in "vm-3/0192c1". A name without one is the node's.
const runSeparator = "/"

// addressSeparator parts a node's name from its peer address, as in
// "vm-3@10.0.0.3:9000/0192c1". Nodes of another region are found by it, since
// the view has this region's members alone.
const addressSeparator = "@"

// HolderName returns the name under which a run of a node's process holds
// leases.
func HolderName(node, peerAddress, run string) string {
	return node + addressSeparator + peerAddress + runSeparator + run
}

// splitHolder returns the node and its peer address, which may be empty.
func splitHolder(holder string) (node, address string) {
	node, address, _ = strings.Cut(holder, addressSeparator)
	return node, address
}

// holderNode returns the node, with its address where that is known, that an
// error of Acquire names as the lease's holder, or nothing.
func holderNode(err error) string {
	var held *platform.HeldError
	if !errors.As(err, &held) {
		return ""
	}
	node, _, _ := strings.Cut(held.Current.Holder, runSeparator)
	return node
}
