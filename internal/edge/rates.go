package edge

import "galenatrestle/internal/ratelimit"

// rateLimiter enforces the request rate limits that replicas declare.
type rateLimiter struct {
	node    *Node
	limits  *ratelimit.Table
	permits *ratelimit.Permits
	issuer  *ratelimit.Issuer
}

func newRateLimiter(n *Node) *rateLimiter {
	limits := ratelimit.NewTable(n.options.Clock)
	ratelimit.RegisterMetrics(n.registry, limits)
	return &rateLimiter{node: n, limits: limits, permits: ratelimit.NewPermits(limits), issuer: ratelimit.NewIssuer()}
}

// setUp mounts the handler for other nodes' permit requests and lets this node request
// permits from the issuers.
func (r *rateLimiter) setUp() {
	n := r.node
	exchange := ratelimit.NewExchange(ratelimit.Options{
		Table: r.limits, Issuer: r.issuer, Self: n.options.Settings.Name,
		IssuerOf: r.issuerOf, Share: n.sync.SeenFraction, IsRegistered: n.replicas.HasProcess, Clients: n.clients, Registry: n.registry,
	})
	n.peers.Mount(exchange.Handler())
	r.permits.SetAcquireFunc(exchange.RequestPermit)
}

// issuerOf returns the node that issues the replica's permits.
func (r *rateLimiter) issuerOf(replica string) (name, address string) {
	issuer := r.node.sync.PermitIssuer(replica)
	return issuer.Name, issuer.PeerAddress
}

// forget drops the state of a removed replica.
func (r *rateLimiter) forget(replica string) {
	r.limits.Forget(replica)
	r.permits.Forget(replica)
	r.issuer.Forget(replica)
}
