package ratelimit

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	ratelimitv1 "galenatrestle/internal/gen/trestle/ratelimit/v1"
	"galenatrestle/internal/gen/trestle/ratelimit/v1/ratelimitv1connect"
	"galenatrestle/internal/peer"
)

// permitTimeout bounds a permit request, since a caller's request waits for it. The round-trip
// time between nodes is a few milliseconds.
const permitTimeout = 100 * time.Millisecond

// Options configures an Exchange.
type Options struct {
	Table  *Table
	Issuer *Issuer
	// Self is this node's name.
	Self string
	// IssuerOf returns the name and peer address of the node that issues permits for the
	// replica.
	IssuerOf func(replica string) (name, address string)
	// Share returns the fraction of each rate that this node may issue. It is below 1 while
	// some nodes are unreachable, since they may have chosen another issuer.
	Share func() float64
	// IsRegistered reports whether this process of the replica is registered.
	IsRegistered func(replica string, startedAt int64) bool
	Clients      *peer.Clients
	Registry     prometheus.Registerer
}

// Exchange is the client and the server of the permit RPC between nodes. It is safe for
// concurrent use.
type Exchange struct {
	options  Options
	requests *prometheus.CounterVec
}

// NewExchange returns an exchange and registers its metrics.
func NewExchange(options Options) *Exchange {
	e := &Exchange{options: options, requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_rate_permits_total", Help: "Asks of this node for a permit of a replica that names a rate: given, refused or unanswered.",
	}, []string{"result"})}
	options.Registry.MustRegister(e.requests)
	return e
}

// Handler returns the path and the handler to mount on the peer listener.
func (e *Exchange) Handler() (string, http.Handler) {
	return ratelimitv1connect.NewRateLimitServiceHandler(e)
}

// RequestPermit requests a permit under the limit from the replica's issuer.
func (e *Exchange) RequestPermit(ctx context.Context, l Limit) (Grant, error) {
	name, address := e.options.IssuerOf(l.Replica)
	var grant Grant
	var err error
	if name == e.options.Self {
		grant = e.issue(l)
	} else {
		grant, err = e.requestFromPeer(ctx, address, l)
	}
	grant.Issuer = name
	e.requests.WithLabelValues(permitResult(grant, err)).Inc()
	return grant, err
}

func permitResult(grant Grant, err error) string {
	switch {
	case err != nil:
		return "unanswered"
	case grant.Granted:
		return "given"
	default:
		return "refused"
	}
}

func (e *Exchange) requestFromPeer(ctx context.Context, address string, l Limit) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	client := ratelimitv1connect.NewRateLimitServiceClient(e.options.Clients.HTTPClient(address), e.options.Clients.URL(address))
	response, err := client.Acquire(ctx, connect.NewRequest(&ratelimitv1.AcquireRequest{Limit: limitToProto(l, e.options.Table.Now())}))
	if err != nil {
		return Grant{}, err
	}
	return Grant{Granted: response.Msg.GetGiven(), RetryAfter: microseconds(response.Msg.GetRetryAfter())}, nil
}

// Acquire implements ratelimitv1connect.RateLimitServiceHandler.
func (e *Exchange) Acquire(_ context.Context, request *connect.Request[ratelimitv1.AcquireRequest]) (*connect.Response[ratelimitv1.AcquireResponse], error) {
	requested := limitFromProto(request.Msg.GetLimit(), e.options.Table.Now())
	grant := Grant{RetryAfter: unansweredPause}
	// Two issuers at once would exceed the rate, so a node issues permits only if it
	// considers itself the issuer.
	if name, _ := e.options.IssuerOf(requested.Replica); name == e.options.Self && e.options.IsRegistered(requested.Replica, requested.StartedAt) {
		grant = e.issue(requested)
	}
	return connect.NewResponse(&ratelimitv1.AcquireResponse{Given: grant.Granted, RetryAfter: grant.RetryAfter.Microseconds()}), nil
}

// issue issues a permit under the newer of the requested limit and the one in the table.
func (e *Exchange) issue(requested Limit) Grant {
	limit := e.options.Table.Newest(requested)
	if limit.Lifted {
		// Nodes replicate that the limit was lifted, so the requesting node learns of it.
		return Grant{RetryAfter: minPause}
	}
	return e.options.Issuer.Issue(time.Now(), limit, e.options.Share())
}
