package overload

import "sync"

// Gates holds the gate of each upstream. It is safe for concurrent use.
type Gates struct {
	gates sync.Map
}

// Of returns the gate of the upstream.
func (g *Gates) Of(upstream string) *Gate {
	gate, _ := g.gates.LoadOrStore(upstream, &Gate{})
	return gate.(*Gate)
}
