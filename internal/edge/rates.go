package edge

import "galenatrestle/internal/ratelimit"

// rates enforces the request rate limits that replicas declare.
type rates struct {
	node    *Node
	limits  *ratelimit.Table
	permits *ratelimit.Permits
	issuer  *ratelimit.Issuer
}

func newRates(n *Node) *rates {
	limits := ratelimit.NewTable(n.options.Clock)
	ratelimit.RegisterMetrics(n.registry, limits)
	return &rates{node: n, limits: limits, permits: ratelimit.NewPermits(limits), issuer: ratelimit.NewIssuer()}
}

// setUp connects the exchange of permits with the other nodes.
func (r *rates) setUp() {
	n := r.node
	exchange := ratelimit.NewExchange(ratelimit.Options{
		Table: r.limits, Issuer: r.issuer, Self: n.options.Settings.Name,
		IssuerOf: r.issuerOf, Share: n.sync.SeenFraction, IsRegistered: n.replicas.HasProcess, Clients: n.clients, Registry: n.registry,
	})
	n.peers.Mount(exchange.Handler())
	r.permits.SetAcquireFunc(exchange.RequestPermit)
}

func (r *rates) issuerOf(replica string) (name, address string) {
	issuer := r.node.sync.PermitIssuer(replica)
	return issuer.Name, issuer.PeerAddress
}

// forget drops the state of a removed replica.
func (r *rates) forget(replica string) {
	r.limits.Forget(replica)
	r.permits.Forget(replica)
	r.issuer.Forget(replica)
}
