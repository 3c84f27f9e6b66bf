package usage

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	usagev1 "galenatrestle/internal/gen/trestle/usage/v1"
	"galenatrestle/internal/gen/trestle/usage/v1/usagev1connect"
	"galenatrestle/internal/peer"
)

// Service serves this node's counts to the node that reports them, and keeps its final sums.
type Service struct {
	// source identifies this run of the process.
	source string
	meter  *Meter
	kept   KeptSums
}

// NewService returns a service for the counts of meter.
func NewService(source string, meter *Meter) *Service { return &Service{source: source, meter: meter} }

// Handler returns the path and the handler to mount on the peer listener.
func (s *Service) Handler() (string, http.Handler) {
	return usagev1connect.NewUsageServiceHandler(s)
}

// Counts implements usagev1connect.UsageServiceHandler.
func (s *Service) Counts(_ context.Context, request *connect.Request[usagev1.CountsRequest]) (*connect.Response[usagev1.CountsResponse], error) {
	answer := &usagev1.CountsResponse{Source: s.source}
	for window, counts := range s.meter.Since(request.Msg.GetFromWindow()) {
		answer.Windows = append(answer.Windows, &usagev1.WindowCounts{Window: window, Workspaces: counts.toProto()})
	}
	for _, sums := range s.kept.Since(request.Msg.GetFromWindow()) {
		answer.FinalSums = append(answer.FinalSums, sums.toProto())
	}
	return connect.NewResponse(answer), nil
}

// KeepFinalSums implements usagev1connect.UsageServiceHandler.
func (s *Service) KeepFinalSums(_ context.Context, request *connect.Request[usagev1.KeepFinalSumsRequest]) (*connect.Response[usagev1.KeepFinalSumsResponse], error) {
	s.kept.Keep(finalSumsFromProto(request.Msg.GetFinalSums()))
	return connect.NewResponse(&usagev1.KeepFinalSumsResponse{}), nil
}

const (
	// askTimeout is the timeout of a call to one node.
	askTimeout = 500 * time.Millisecond
	// maxConcurrentCalls limits concurrent calls, to leave the holder capacity for
	// requests.
	maxConcurrentCalls = 8
	// finalSumsCopies is the number of other nodes that keep final sums.
	finalSumsCopies = 4
)

// Gatherer fetches the counts of all nodes.
type Gatherer struct {
	own     *Service
	clients *peer.Clients
	// addresses returns the peer addresses of the other nodes.
	addresses func() []string
}

// NewGatherer returns a gatherer; own is this node's service.
func NewGatherer(own *Service, clients *peer.Clients, addresses func() []string) *Gatherer {
	return &Gatherer{own: own, clients: clients, addresses: addresses}
}

// Gather returns the counts of this node and of each node that responds, for windows from
// first on, and the number of nodes that did not respond.
func (g *Gatherer) Gather(ctx context.Context, first int64) (counts []SourceCounts, silent int) {
	counts = []SourceCounts{{Source: g.own.source, Windows: g.own.meter.Since(first), FinalSums: g.own.kept.Since(first)}}
	var mu sync.Mutex
	var asking sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for _, address := range g.addresses() {
		semaphore <- struct{}{}
		asking.Go(func() {
			defer func() { <-semaphore }()
			answer, err := g.ask(ctx, address, first)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				// Not logged here; the exchange between nodes logs unresponsive nodes.
				silent++
				return
			}
			counts = append(counts, answer)
		})
	}
	asking.Wait()
	return counts, silent
}

func (g *Gatherer) ask(ctx context.Context, address string, first int64) (SourceCounts, error) {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := g.client(address).Counts(limited, connect.NewRequest(&usagev1.CountsRequest{FromWindow: first}))
	if err != nil {
		return SourceCounts{}, err
	}
	told := SourceCounts{
		Source: response.Msg.GetSource(), Windows: make(map[int64]Counts),
		FinalSums: finalSumsFromProto(response.Msg.GetFinalSums()),
	}
	for _, window := range response.Msg.GetWindows() {
		told.Windows[window.GetWindow()] = countsFromProto(window.GetWorkspaces())
	}
	return told, nil
}

// KeepFinalSums has this node and some others keep the sums. Other nodes are asked each time, so
// that not all copies are at the same few.
func (g *Gatherer) KeepFinalSums(ctx context.Context, list []FinalSums) {
	g.own.kept.Keep(list)
	addresses := g.addresses()
	if len(addresses) == 0 {
		return
	}
	first := int(list[0].Window % int64(len(addresses)))
	var telling sync.WaitGroup
	for i := range min(finalSumsCopies, len(addresses)) {
		address := addresses[(first+i)%len(addresses)]
		telling.Go(func() { g.tell(ctx, address, list) })
	}
	telling.Wait()
}

func (g *Gatherer) tell(ctx context.Context, address string, list []FinalSums) {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := &usagev1.KeepFinalSumsRequest{}
	for _, sums := range list {
		request.FinalSums = append(request.FinalSums, sums.toProto())
	}
	// A node that does not respond keeps nothing; the exchange between nodes logs it.
	_, _ = g.client(address).KeepFinalSums(limited, connect.NewRequest(request))
}

func (g *Gatherer) client(address string) usagev1connect.UsageServiceClient {
	return usagev1connect.NewUsageServiceClient(g.clients.HTTPClient(address), g.clients.URL(address))
}
