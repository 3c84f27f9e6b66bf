// Package rounds is what exchanges between nodes are driven by: a step at an
// interval, with a clean-up less often, and asks of the nodes that own something.
// It holds only which of these have a call under way.
package rounds
