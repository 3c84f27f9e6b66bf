package configsync

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"galenatrestle/internal/errs"
	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
	"galenatrestle/internal/gen/trestle/configsync/v1/configsyncv1connect"
)

// Clients gives the HTTP client and the base URL for a peer's address; package
// peer has the pool that does.
type Clients interface {
	HTTPClient(address string) *http.Client
	URL(address string) string
}

// ConnectPeers is Peers over connect-go.
type ConnectPeers struct {
	clients Clients
}

// NewConnectPeers returns peers reached through the clients.
func NewConnectPeers(clients Clients) *ConnectPeers {
	return &ConnectPeers{clients: clients}
}

var _ Peers = (*ConnectPeers)(nil)

// Pull implements Peers.
func (p *ConnectPeers) Pull(ctx context.Context, address string, request *configsyncv1.PullRequest) (*configsyncv1.PullResponse, error) {
	response, err := p.to(address).Pull(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errs.Wrap(errs.Peer, err, "pull configuration", address)
	}
	return response.Msg, nil
}

// Notify implements Peers.
func (p *ConnectPeers) Notify(ctx context.Context, address string, request *configsyncv1.NotifyRequest) (*configsyncv1.NotifyResponse, error) {
	response, err := p.to(address).Notify(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errs.Wrap(errs.Peer, err, "tell of configuration", address)
	}
	return response.Msg, nil
}

func (p *ConnectPeers) to(address string) configsyncv1connect.ConfigSyncServiceClient {
	return configsyncv1connect.NewConfigSyncServiceClient(p.clients.HTTPClient(address), p.clients.URL(address))
}
