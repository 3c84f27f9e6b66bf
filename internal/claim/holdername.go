package claim

import (
	"errors"
	"strings"

	"galenatrestle/internal/platform"
)

// runSeparator parts a node's name from the id of its process's run in the name
// of a lease's holder, as in "vm-3/0192c1". A name without one is the node's.
const runSeparator = "/"

// holderNode returns the name of the node that an error of Acquire names as the
// lease's holder, or nothing.
func holderNode(err error) string {
	var held *platform.HeldError
	if !errors.As(err, &held) {
		return ""
	}
	node, _, _ := strings.Cut(held.Current.Holder, runSeparator)
	return node
}
