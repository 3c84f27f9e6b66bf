package credit

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/errs"
	creditv1 "galenatrestle/internal/gen/trestle/credit/v1"
	"galenatrestle/internal/gen/trestle/credit/v1/creditv1connect"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/rounds"
)

const (
	// planInterval is the time between two checks for asks that are due.
	planInterval = 100 * time.Millisecond
	// askTimeout is the timeout of one call to an owner.
	askTimeout = time.Second
	// sweepInterval is the time between two removals of expired state.
	sweepInterval = 10 * time.Second
	// maxAsks is the maximum number of asks in one message.
	maxAsks = 1024
)

const stepAsk = "ask for credits"

// Members provides the current membership.
type Members interface {
	View() *membership.Snapshot
}

// Options configures an Exchange.
type Options struct {
	Node    string
	Members Members
	Clients *peer.Clients
	// Needs returns this node's current needs; the exchange sets the owners.
	Needs func() []Need
	// Allow is called with the number of slots of a replica that this node may
	// use, whenever it changes. It may be Unbounded.
	Allow      func(upstream, replica string, slots int)
	Settings   Settings
	Rand       *rand.Rand
	Registerer prometheus.Registerer
}

// Exchange runs this node's Owner and Wallet. It is safe for concurrent use.
type Exchange struct {
	options Options
	metrics *metrics
	asks    *rounds.OwnerClient[[]Ask, []Grant]

	ownerMu sync.Mutex
	owner   *Owner

	walletMu sync.Mutex
	wallet   *Wallet

	// allowed has the slots last passed to Allow; only the loop uses it.
	allowed map[allowKey]int
}

type allowKey struct{ upstream, replica string }

// NewExchange returns an exchange that is not yet running.
func NewExchange(options Options) *Exchange {
	e := &Exchange{
		options: options,
		metrics: newMetrics(options.Registerer),
		owner:   NewOwner(options.Settings),
		wallet:  NewWallet(options.Node, options.Settings, options.Rand),
		allowed: make(map[allowKey]int),
	}
	e.asks = &rounds.OwnerClient[[]Ask, []Grant]{
		Self:           options.Node,
		HandleLocal:    func(asks []Ask) []Grant { return e.handle(options.Node, asks) },
		Call:           e.call,
		HandleResponse: e.applyResponse,
	}
	return e
}

// Handler returns the path and handler to mount on the peer listener.
func (e *Exchange) Handler() (string, http.Handler) {
	return creditv1connect.NewCreditServiceHandler(e)
}

// Ask implements the peer service.
func (e *Exchange) Ask(_ context.Context, r *connect.Request[creditv1.AskRequest]) (*connect.Response[creditv1.AskResponse], error) {
	if len(r.Msg.GetAsks()) > maxAsks {
		return nil, connect.NewError(connect.CodeInvalidArgument, errTooManyAsks)
	}
	grants := e.handle(r.Msg.GetNode(), asksFromWire(r.Msg.GetAsks()))
	return connect.NewResponse(&creditv1.AskResponse{Grants: grantsToWire(grants)}), nil
}

func (e *Exchange) handle(node string, asks []Ask) []Grant {
	nodes := e.options.Members.View().Serving()
	e.ownerMu.Lock()
	defer e.ownerMu.Unlock()
	e.metrics.handled.Add(float64(len(asks)))
	return e.owner.Handle(time.Now(), node, nodes, asks)
}

// Run exchanges credits until ctx is done, and returns after pending calls end.
func (e *Exchange) Run(ctx context.Context) {
	defer e.asks.Wait()
	rounds.Loop{
		InitialDelay: planInterval, Interval: planInterval, SweepInterval: sweepInterval,
		Step: e.step, Sweep: e.sweep,
	}.Run(ctx)
}

// step sends the asks that are due and updates the allowances.
func (e *Exchange) step(ctx context.Context, _ time.Time) {
	view := e.options.Members.View()
	needs := e.options.Needs()
	for i := range needs {
		setOwners(view, needs[i].Replicas)
	}
	for owner, asks := range e.plan(needs) {
		e.asks.Send(ctx, owner, membership.PeerAddress(view, owner), asks)
	}
	e.updateAllowances(needs, view.Serving())
}

func setOwners(view *membership.Snapshot, replicas []ReplicaNeed) {
	for i := range replicas {
		replicas[i].Owner = view.Owner(replicas[i].Name).Name
	}
}

// plan returns the asks that are due, by owner, without owners that have a call
// in flight.
func (e *Exchange) plan(needs []Need) map[string][]Ask {
	busy := e.asks.InFlight()
	e.walletMu.Lock()
	defer e.walletMu.Unlock()
	due := e.wallet.Plan(time.Now(), needs)
	maps.DeleteFunc(due, func(owner string, _ []Ask) bool { return busy[owner] })
	return due
}

func (e *Exchange) call(ctx context.Context, address string, asks []Ask) ([]Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	e.metrics.asked.Add(float64(len(asks)))
	e.metrics.messages.Inc()
	client := creditv1connect.NewCreditServiceClient(e.options.Clients.HTTPClient(address), e.options.Clients.URL(address))
	response, err := client.Ask(ctx, connect.NewRequest(&creditv1.AskRequest{
		Node: e.options.Node,
		Asks: asksToWire(asks),
	}))
	if err != nil {
		return nil, errs.Wrap(errs.Peer, err, stepAsk, address)
	}
	return grantsFromWire(response.Msg.GetGrants()), nil
}

// applyResponse applies an owner's grants. After a failed call the existing credits
// stay valid until they expire; the node then falls back to FairPart.
func (e *Exchange) applyResponse(_ string, _ []Ask, grants []Grant, err error) {
	if err != nil {
		e.metrics.failed.Inc()
	}
	e.walletMu.Lock()
	defer e.walletMu.Unlock()
	e.wallet.Apply(time.Now(), grants)
}

// updateAllowances calls Allow for each allowance that has changed.
func (e *Exchange) updateAllowances(needs []Need, nodes int) {
	seen := make(map[allowKey]bool)
	for _, need := range needs {
		for replica, slots := range e.allowances(need, nodes) {
			key := allowKey{need.Upstream, replica}
			seen[key] = true
			if old, ok := e.allowed[key]; ok && old == slots {
				continue
			}
			e.allowed[key] = slots
			e.options.Allow(need.Upstream, replica, slots)
		}
	}
	for key := range e.allowed {
		if !seen[key] {
			delete(e.allowed, key)
		}
	}
}

func (e *Exchange) allowances(need Need, nodes int) map[string]int {
	e.walletMu.Lock()
	defer e.walletMu.Unlock()
	return e.wallet.Allowances(time.Now(), need, nodes)
}

func (e *Exchange) sweep(now time.Time) {
	e.walletMu.Lock()
	e.wallet.Sweep(now)
	e.walletMu.Unlock()
	e.ownerMu.Lock()
	e.owner.Sweep(now)
	e.ownerMu.Unlock()
}
