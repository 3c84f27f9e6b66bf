package edge

import "galenatrestle/internal/ratelimit"

// rates is a node's part in keeping to the request rates that replicas name.
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

// link sets up the exchange of permits with the other nodes.
func (r *rates) link() {
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

// forget drops what is known of a replica that is gone.
func (r *rates) forget(replica string) {
	r.limits.Forget(replica)
	r.permits.Forget(replica)
	r.issuer.Forget(replica)
}
