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

// Service serves this node's counts to the node that reports them.
type Service struct {
	// source identifies this run of the process.
	source string
	meter  *Meter
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
		told := &usagev1.WindowCounts{Window: window}
		for workspace, n := range counts {
			told.Workspaces = append(told.Workspaces, &usagev1.WorkspaceCount{Workspace: workspace, Requests: n})
		}
		answer.Windows = append(answer.Windows, told)
	}
	return connect.NewResponse(answer), nil
}

const (
	// askTimeout is the timeout of a call to one node.
	askTimeout = 500 * time.Millisecond
	// maxConcurrentCalls limits concurrent calls, to leave the holder capacity for
	// requests.
	maxConcurrentCalls = 8
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
	counts = []SourceCounts{{Source: g.own.source, Windows: g.own.meter.Since(first)}}
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
	client := usagev1connect.NewUsageServiceClient(g.clients.HTTPClient(address), g.clients.URL(address))
	response, err := client.Counts(limited, connect.NewRequest(&usagev1.CountsRequest{FromWindow: first}))
	if err != nil {
		return SourceCounts{}, err
	}
	told := SourceCounts{Source: response.Msg.GetSource(), Windows: make(map[int64]Counts)}
	for _, window := range response.Msg.GetWindows() {
		counts := make(Counts, len(window.GetWorkspaces()))
		for _, w := range window.GetWorkspaces() {
			counts[w.GetWorkspace()] = w.GetRequests()
		}
		told.Windows[window.GetWindow()] = counts
	}
	return told, nil
}
