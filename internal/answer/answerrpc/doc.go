// Package answerrpc lets a node tell its callers of answers that another node
// holds. A request id names its node; the resolver reads the answer there, or
// here where the id names this node.
//
// It holds no state. A platform outage changes nothing here; an answer whose
// node is gone is gone with it.
package answerrpc
