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

// askTimeout bounds one ask, for which a request waits; nodes are a few milliseconds apart.
const askTimeout = 100 * time.Millisecond

// Options are what an Exchange works with.
type Options struct {
	Table  *Table
	Issuer *Issuer
	// Self is this node's name.
	Self string
	// IssuerOf is the node that issues the permits of the replica, by name and peer
	// address.
	IssuerOf func(replica string) (name, address string)
	// Share is the part of the rates that this node may issue: less than all where some
	// of the nodes can't be heard, which may have an issuer of their own.
	Share func() float64
	// IsRegistered says whether the process of the replica is registered.
	IsRegistered func(replica string, startedAt int64) bool
	Clients      *peer.Clients
	Registry     prometheus.Registerer
}

// Exchange asks other nodes for permits, and answers them. It is safe for concurrent use.
type Exchange struct {
	options Options
	asked   *prometheus.CounterVec
}

// NewExchange returns an exchange between this node and the others.
func NewExchange(options Options) *Exchange {
	e := &Exchange{options: options, asked: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_rate_permits_total", Help: "Asks of this node for a permit of a replica that names a rate: given, refused or unanswered.",
	}, []string{"result"})}
	options.Registry.MustRegister(e.asked)
	return e
}

// Handler returns the path and the handler to mount on the peer listener.
func (e *Exchange) Handler() (string, http.Handler) {
	return ratelimitv1connect.NewRateLimitServiceHandler(e)
}

// RequestPermit asks the replica's issuer for a permit under the limit.
func (e *Exchange) RequestPermit(ctx context.Context, l Limit) (Grant, error) {
	name, address := e.options.IssuerOf(l.Replica)
	var grant Grant
	var err error
	if name == e.options.Self {
		grant = e.issue(l)
	} else {
		grant, err = e.call(ctx, address, l)
	}
	grant.Issuer = name
	e.asked.WithLabelValues(resultOf(grant, err)).Inc()
	return grant, err
}

func resultOf(grant Grant, err error) string {
	switch {
	case err != nil:
		return "unanswered"
	case grant.Granted:
		return "given"
	default:
		return "refused"
	}
}

// call asks another node.
func (e *Exchange) call(ctx context.Context, address string, l Limit) (Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
	told := limitFromProto(request.Msg.GetLimit(), e.options.Table.Now())
	grant := Grant{RetryAfter: unansweredPause}
	// Two nodes that both issue would give twice the rate: one that does not take itself
	// for the issuer gives nothing until both agree.
	if name, _ := e.options.IssuerOf(told.Replica); name == e.options.Self && e.options.IsRegistered(told.Replica, told.StartedAt) {
		grant = e.issue(told)
	}
	return connect.NewResponse(&ratelimitv1.AcquireResponse{Given: grant.Granted, RetryAfter: grant.RetryAfter.Microseconds()}), nil
}

// issue gives a permit by the newest limit that this node and the asking one know.
func (e *Exchange) issue(told Limit) Grant {
	limit := e.options.Table.Newest(told)
	if limit.Lifted {
		// The asking node hears of it soon.
		return Grant{RetryAfter: leastPause}
	}
	return e.options.Issuer.Issue(time.Now(), limit, e.options.Share())
}
