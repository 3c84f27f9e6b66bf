package ratelimit

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/eventlog"
	ratelimitv1 "galenatrestle/internal/gen/trestle/ratelimit/v1"
	"galenatrestle/internal/gen/trestle/ratelimit/v1/ratelimitv1connect"
	"galenatrestle/internal/peer"
)

// permitTimeout bounds a permit request, since a caller's request waits for it. The round-trip
// time between nodes is a few milliseconds.
const permitTimeout = 100 * time.Millisecond

// reportTimeout bounds a report, for which nobody waits.
const reportTimeout = 500 * time.Millisecond

// Options configures an Exchange.
type Options struct {
	Table  *Table
	Issuer *Issuer
	Slots  *SlotIssuer
	// Self is this node's name.
	Self string
	// IssuerOf returns the name and peer address of the node that issues permits for the
	// replica.
	IssuerOf func(replica string) (name, address string)
	// Share returns the fraction of each limit that this node may issue. It is below 1 while
	// some nodes are unreachable, since they may have chosen another issuer.
	Share func() float64
	// IsRegistered reports whether this process of the replica is registered.
	IsRegistered func(replica string, startedAt int64) bool
	Clients      *peer.Clients
	Log          *eventlog.Log
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

// RequestPermit requests a permit from the replica's issuer.
func (e *Exchange) RequestPermit(ctx context.Context, ask Ask) (Grant, error) {
	name, address := e.options.IssuerOf(ask.Limit.Replica)
	var grant Grant
	var err error
	if name == e.options.Self {
		grant = e.issue(ctx, &ask)
	} else {
		grant, err = e.requestFromPeer(ctx, address, &ask)
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

func (e *Exchange) requestFromPeer(ctx context.Context, address string, ask *Ask) (Grant, error) {
	timeout := permitTimeout
	if ask.Slot != nil {
		timeout += ask.Slot.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := e.client(address).Acquire(ctx, connect.NewRequest(askToProto(ask, e.options.Table.Now())))
	if err != nil {
		return Grant{}, err
	}
	return Grant{Granted: response.Msg.GetGiven(), RetryAfter: microseconds(response.Msg.GetRetryAfter())}, nil
}

func (e *Exchange) client(address string) ratelimitv1connect.RateLimitServiceClient {
	return ratelimitv1connect.NewRateLimitServiceClient(e.options.Clients.HTTPClient(address), e.options.Clients.URL(address))
}

// Acquire implements ratelimitv1connect.RateLimitServiceHandler.
func (e *Exchange) Acquire(ctx context.Context, request *connect.Request[ratelimitv1.AcquireRequest]) (*connect.Response[ratelimitv1.AcquireResponse], error) {
	ask := askFromProto(request.Msg, e.options.Table.Now())
	grant := Grant{RetryAfter: unansweredPause}
	// Two issuers at once would exceed the limit, so a node issues permits only if it
	// considers itself the issuer.
	if e.isIssuerOf(ask.Limit.Replica) && e.options.IsRegistered(ask.Limit.Replica, ask.Limit.StartedAt) {
		grant = e.issue(ctx, &ask)
	}
	return connect.NewResponse(&ratelimitv1.AcquireResponse{Given: grant.Granted, RetryAfter: grant.RetryAfter.Microseconds()}), nil
}

func (e *Exchange) isIssuerOf(replica string) bool {
	name, _ := e.options.IssuerOf(replica)
	return name == e.options.Self
}

// issue issues a permit under the newer of the requested limit and the one in the table.
func (e *Exchange) issue(ctx context.Context, ask *Ask) Grant {
	limit := e.options.Table.Newest(ask.Limit)
	if !limit.inForce() {
		// Nodes replicate that the limit was lifted, so the requesting node learns of it. A replica
		// that is no longer brittle takes requests without being asked for a slot.
		return Grant{Granted: ask.Limit.Lifted, RetryAfter: minPause}
	}
	if limit.Brittle.Brittle {
		if grant := e.issueSlot(ctx, &limit, ask.Slot); !grant.Granted {
			return grant
		}
	}
	if limit.Lifted {
		return Grant{Granted: true}
	}
	grant := e.options.Issuer.Issue(time.Now(), limit, e.options.Share())
	if !grant.Granted && ask.Slot != nil {
		e.options.Slots.Report(&SlotReport{Replica: limit.Replica, StartedAt: limit.StartedAt, Node: ask.Slot.Node, Ended: []uint64{ask.Slot.ID}})
	}
	return grant
}

// issueSlot issues a slot. A node that does not know yet that the replica is brittle asks for none.
func (e *Exchange) issueSlot(ctx context.Context, l *Limit, ask *SlotAsk) Grant {
	if ask == nil {
		return Grant{RetryAfter: minPause}
	}
	return e.options.Slots.Issue(ctx, l, ask, e.options.Share())
}

// ReportSlots tells the replica's issuer what became of slots, and logs it if the report is lost.
func (e *Exchange) ReportSlots(ctx context.Context, r *SlotReport) error {
	name, address := e.options.IssuerOf(r.Replica)
	if name == e.options.Self {
		e.options.Slots.Report(r)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err := e.client(address).Report(ctx, connect.NewRequest(reportToProto(r)))
	if err != nil {
		e.options.Log.Write(&slotReportLost{report: r, issuer: name, err: err})
	}
	return err
}

var errNotIssuer = errors.New("this node does not issue the replica's permits")

// Report implements ratelimitv1connect.RateLimitServiceHandler.
func (e *Exchange) Report(_ context.Context, request *connect.Request[ratelimitv1.ReportRequest]) (*connect.Response[ratelimitv1.ReportResponse], error) {
	r := reportFromProto(request.Msg)
	if !e.isIssuerOf(r.Replica) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNotIssuer)
	}
	if e.options.IsRegistered(r.Replica, r.StartedAt) {
		e.options.Slots.Report(r)
	}
	return connect.NewResponse(&ratelimitv1.ReportResponse{}), nil
}
