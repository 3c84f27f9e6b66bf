package quotashare

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	quotav1 "galenatrestle/internal/gen/trestle/quota/v1"
	"galenatrestle/internal/gen/trestle/quota/v1/quotav1connect"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/quota"
	"galenatrestle/internal/rounds"
)

const (
	// callTimeout bounds one call to an owner.
	callTimeout = time.Second
	// sweepInterval is the time between two clean-ups.
	sweepInterval = 30 * time.Second
)

// Options are what an Exchange is created with.
type Options struct {
	// Node is this node's name.
	Node string
	// View returns the present picture of the nodes.
	View   func() View
	Caller Caller
	// Limiter tells the demands and is told the shares.
	Limiter  *quota.Limiter
	Settings Settings
	// Rand spreads the nodes' reports over the interval.
	Rand       *rand.Rand
	Registerer prometheus.Registerer
}

// Exchange drives this node's Owner and Holder. It is safe for concurrent use.
type Exchange struct {
	options Options
	metrics *metrics
	asks    *rounds.OwnerClient[[]Report, []Grant]

	ownerMu sync.Mutex
	owner   *Owner

	holderMu sync.Mutex
	holder   *Holder
}

// NewExchange returns an exchange that is not yet running.
func NewExchange(options Options) *Exchange {
	options.Settings = options.Settings.withDefaults()
	e := &Exchange{
		options: options,
		metrics: newMetrics(options.Registerer),
		owner:   NewOwner(options.Settings),
		holder:  NewHolder(options.Node, options.Settings),
	}
	e.asks = &rounds.OwnerClient[[]Report, []Grant]{
		Self:           options.Node,
		HandleLocal:    func(reports []Report) []Grant { return e.handle(options.Node, reports) },
		Call:           e.call,
		HandleResponse: e.take,
	}
	return e
}

// Handler returns the path and handler to mount on the peer listener.
func (e *Exchange) Handler() (string, http.Handler) {
	return quotav1connect.NewQuotaServiceHandler(e)
}

// Share implements the peer service.
func (e *Exchange) Share(_ context.Context, r *connect.Request[quotav1.ShareRequest]) (*connect.Response[quotav1.ShareResponse], error) {
	if len(r.Msg.GetWorkspaces()) > maxReports {
		return nil, connect.NewError(connect.CodeInvalidArgument, errTooManyReports)
	}
	grants := e.handle(r.Msg.GetNode(), reportsOf(r.Msg))
	return connect.NewResponse(responseOf(grants)), nil
}

func (e *Exchange) handle(node string, reports []Report) []Grant {
	live := servingNames(e.options.View())
	e.ownerMu.Lock()
	defer e.ownerMu.Unlock()
	e.metrics.handled.Add(float64(len(reports)))
	return e.owner.Handle(time.Now(), node, live, reports)
}

// Run exchanges shares until ctx ends, and returns after the last call has.
func (e *Exchange) Run(ctx context.Context) {
	defer e.asks.Wait()
	interval := e.options.Settings.Interval
	rounds.Loop{
		InitialDelay: time.Duration(e.options.Rand.Int64N(int64(interval))) + 1, Interval: interval, SweepInterval: sweepInterval,
		Step: e.step, Sweep: e.sweep,
	}.Run(ctx)
}

// EvenShare is the part of every quota that a node may use without an owner.
func (e *Exchange) EvenShare() float64 {
	view := e.options.View()
	return regionPart(view) * evenPart(view.Serving())
}

// step sends what is due and puts the shares in force.
func (e *Exchange) step(ctx context.Context, now time.Time) {
	view := e.options.View()
	part := regionPart(view)
	for owner, reports := range e.plan(now, view, part) {
		e.asks.Send(ctx, owner, membership.PeerAddress(view, owner), reports)
	}
	e.putInForce(now, view, part)
}

func (e *Exchange) plan(now time.Time, view View, part float64) map[string][]Report {
	needs := needsOf(view, part, e.options.Limiter.Demands(now))
	busy := e.asks.InFlight()
	e.holderMu.Lock()
	defer e.holderMu.Unlock()
	plan := e.holder.Plan(now, view.Serving(), needs, busy)
	e.metrics.held.Set(float64(e.holder.Held()))
	return plan
}

func (e *Exchange) call(ctx context.Context, address string, reports []Report) ([]Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.metrics.messages.Inc()
	e.metrics.reported.Add(float64(len(reports)))
	response, err := e.options.Caller.Share(ctx, address, requestOf(e.options.Node, reports))
	if err != nil {
		e.metrics.failed.Inc()
		return nil, err
	}
	return grantsOf(response), nil
}

// take takes in an owner's answer; the shares are in force from now on.
func (e *Exchange) take(owner string, reports []Report, grants []Grant, err error) {
	now := time.Now()
	e.holderMu.Lock()
	if err != nil {
		e.holder.Fail(now, owner, reports)
	} else {
		e.holder.Apply(now, owner, reports, grants)
	}
	e.holderMu.Unlock()
	view := e.options.View()
	e.putInForce(now, view, regionPart(view))
}

func (e *Exchange) putInForce(now time.Time, view View, part float64) {
	shares := make(map[string]float64)
	e.holderMu.Lock()
	defer e.holderMu.Unlock()
	e.holder.Shares(now, func(workspace string, share float64) { shares[workspace] = share * part })
	e.options.Limiter.SetShares(now, part*evenPart(view.Serving()), shares)
}

func (e *Exchange) sweep(now time.Time) {
	e.ownerMu.Lock()
	defer e.ownerMu.Unlock()
	e.owner.Sweep(now)
}
