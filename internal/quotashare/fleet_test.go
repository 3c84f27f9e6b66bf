package quotashare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/config"
	quotav1 "galenatrestle/internal/gen/trestle/quota/v1"
	"galenatrestle/internal/gen/trestle/quota/v1/quotav1connect"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/quota"
	"galenatrestle/internal/testnet"
)

const (
	fleetNodes = 8
	// fleetQuota is the workspace's requests a second.
	fleetQuota = 100
	fleetStep  = 10 * time.Millisecond
	workspace  = "tabkassza"
)

// fleetView is a node's picture in which the owner is named.
type fleetView struct {
	self    string
	members []membership.Member
	owner   string
}

func (v fleetView) Self() membership.Member        { return v.Owner(v.self) }
func (v fleetView) Members() []membership.Member   { return v.members }
func (v fleetView) Serving() int                   { return len(v.members) }
func (v fleetView) Regions() []membership.Region   { return nil }
func (v fleetView) Owner(string) membership.Member { return membership.Member{Name: v.owner} }

// fleet is nodes that share one quota over in-memory connections.
type fleet struct {
	names    []string
	limiters []*quota.Limiter
	clients  map[string]*http.Client
	// offered is each node's requests a second, admitted what got through.
	offered  []float64
	owed     []float64
	admitted []int

	mu    sync.Mutex
	owner func(self string) string
	dead  map[string]bool
	gone  map[string]bool
	cut   map[[2]string]bool
}

func newFleet(ctx context.Context, t *testing.T, shared bool, offered []float64) *fleet {
	f := &fleet{
		clients: make(map[string]*http.Client), offered: offered,
		owed: make([]float64, fleetNodes), admitted: make([]int, fleetNodes),
		dead: make(map[string]bool), gone: make(map[string]bool), cut: make(map[[2]string]bool),
	}
	f.owner = func(string) string { return name(fleetNodes - 1) }
	for i := range fleetNodes {
		f.names = append(f.names, name(i))
	}
	for i, self := range f.names {
		limiter := quota.NewLimiter()
		limiter.SetQuotas(time.Now(), map[string]config.Quota{workspace: {RequestsPerSecond: fleetQuota}}, 1.0/fleetNodes)
		f.limiters = append(f.limiters, limiter)
		exchange := NewExchange(Options{
			Node: self, View: func() View { return f.view(self) }, Caller: fleetCaller{fleet: f, self: self},
			Limiter: limiter, Rand: rand.New(rand.NewPCG(3, uint64(i))), Registerer: prometheus.NewRegistry(),
		})
		mux := http.NewServeMux()
		mux.Handle(exchange.Handler())
		f.clients[self] = testnet.Serve(t, mux)
		if shared {
			go exchange.Run(ctx)
		}
	}
	return f
}

func name(i int) string { return fmt.Sprintf("vm-%d", i) }

func (f *fleet) view(self string) View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := fleetView{self: self, owner: f.owner(self)}
	for _, name := range f.names {
		if !f.gone[name] {
			v.members = append(v.members, membership.Member{Name: name, PeerAddress: name, State: membership.StateServing})
		}
	}
	return v
}

func (f *fleet) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

func (f *fleet) reachable(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.dead[from] && !f.dead[to] && !f.cut[[2]string{from, to}]
}

// fleetCaller carries calls unless their way is cut: then they hang.
type fleetCaller struct {
	fleet *fleet
	self  string
}

func (c fleetCaller) Share(ctx context.Context, address string, request *quotav1.ShareRequest) (*quotav1.ShareResponse, error) {
	if !c.fleet.reachable(c.self, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client := quotav1connect.NewQuotaServiceClient(c.fleet.clients[address], "http://"+address)
	response, err := client.Share(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// run offers requests for the time and returns the part of the quota that was
// admitted at all nodes.
func (f *fleet) run(d time.Duration) float64 {
	before := f.total()
	for range int(d / fleetStep) {
		time.Sleep(fleetStep)
		now := time.Now()
		for i, limiter := range f.limiters {
			f.owed[i] += f.offered[i] * fleetStep.Seconds()
			for ; f.owed[i] >= 1; f.owed[i]-- {
				if limiter.Take(now, workspace, 0) == nil {
					f.admitted[i]++
				}
			}
		}
	}
	return float64(f.total()-before) / (fleetQuota * d.Seconds())
}

func (f *fleet) total() (sum int) {
	for _, n := range f.admitted {
		sum += n
	}
	return sum
}

// even are callers that offer each node the same, oneNode those of one node.
func even(each float64) []float64 { return slices.Repeat([]float64{each}, fleetNodes) }

func oneNode(most, others float64) []float64 {
	offered := even(others)
	offered[0] = most
	return offered
}
