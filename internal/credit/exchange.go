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
	// planInterval is how often the exchange looks at what is due.
	planInterval = 100 * time.Millisecond
	// askTimeout bounds one call to an owner.
	askTimeout = time.Second
	// sweepInterval is the time between two clean-ups.
	sweepInterval = 10 * time.Second
	// maxAsks bounds the asks of one message.
	maxAsks = 1024
)

const stepAsk = "ask for credits"

// Members is what the exchange reads of the membership.
type Members interface {
	View() *membership.Snapshot
}

// Options are what an Exchange is created with.
type Options struct {
	// Node is this node's name.
	Node    string
	Members Members
	Clients *peer.Clients
	// Needs returns what this node needs now; the exchange fills in the owners.
	Needs func() []Need
	// Allow is told the slots of a replica that this node may use, whenever
	// they change.
	Allow      func(upstream, replica string, slots int)
	Settings   Settings
	Rand       *rand.Rand
	Registerer prometheus.Registerer
}

// Exchange drives this node's Owner and Wallet. It is safe for concurrent use.
type Exchange struct {
	options Options
	metrics *metrics
	asks    *rounds.OwnerClient[[]Ask, []Grant]

	ownerMu sync.Mutex
	owner   *Owner

	walletMu sync.Mutex
	wallet   *Wallet

	// allowed holds what Allow was last told; only the loop uses it.
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
		HandleResponse: e.take,
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

// Run exchanges credits until ctx ends, and returns after the last call has.
func (e *Exchange) Run(ctx context.Context) {
	defer e.asks.Wait()
	rounds.Loop{
		InitialDelay: planInterval, Interval: planInterval, SweepInterval: sweepInterval,
		Step: e.step, Sweep: e.sweep,
	}.Run(ctx)
}

// step sends what is due and passes on the allowances.
func (e *Exchange) step(ctx context.Context, _ time.Time) {
	view := e.options.Members.View()
	needs := e.options.Needs()
	for i := range needs {
		setOwners(view, needs[i].Replicas)
	}
	for owner, asks := range e.plan(needs) {
		e.asks.Send(ctx, owner, membership.PeerAddress(view, owner), asks)
	}
	e.allow(needs, view.Serving())
}

func setOwners(view *membership.Snapshot, replicas []ReplicaNeed) {
	for i := range replicas {
		replicas[i].Owner = view.Owner(replicas[i].Name).Name
	}
}

// plan returns what is due, less what goes to owners that have not answered
// yet.
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

// take takes in an owner's answer; without one the credits run out by themselves
// and the fair part counts.
func (e *Exchange) take(_ string, _ []Ask, grants []Grant, err error) {
	if err != nil {
		e.metrics.failed.Inc()
	}
	e.walletMu.Lock()
	defer e.walletMu.Unlock()
	e.wallet.Apply(time.Now(), grants)
}

// allow passes on the allowances that have changed.
func (e *Exchange) allow(needs []Need, nodes int) {
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
