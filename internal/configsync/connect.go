package configsync

import (
	"context"

	"connectrpc.com/connect"

	"galenatrestle/internal/errs"
	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
	"galenatrestle/internal/gen/trestle/configsync/v1/configsyncv1connect"
)

// ConnectPeers is Peers over connect-go.
type ConnectPeers struct {
	client connect.HTTPClient
	scheme string
}

// NewConnectPeers returns peers reached by client; scheme is http or https.
func NewConnectPeers(client connect.HTTPClient, scheme string) *ConnectPeers {
	return &ConnectPeers{client: client, scheme: scheme}
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
	return configsyncv1connect.NewConfigSyncServiceClient(p.client, p.scheme+"://"+address)
}
