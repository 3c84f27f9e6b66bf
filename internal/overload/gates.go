package overload

import "sync"

// Gates is the set of gates by upstream. It is safe for concurrent use.
type Gates struct {
	gates sync.Map
}

// Of returns the gate of the upstream, created on first use.
func (g *Gates) Of(upstream string) *Gate {
	gate, _ := g.gates.LoadOrStore(upstream, &Gate{})
	return gate.(*Gate)
}
