package membership

import (
	"context"

	"connectrpc.com/connect"

	"galenatrestle/internal/errs"
	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/gen/trestle/membership/v1/membershipv1connect"
	"galenatrestle/internal/peer"
)

// Caller sends requests to peer addresses.
type Caller interface {
	Sync(ctx context.Context, address string, r *membershipv1.SyncRequest) (*membershipv1.SyncResponse, error)
	Probe(ctx context.Context, address string, r *membershipv1.ProbeRequest) (*membershipv1.ProbeResponse, error)
}

const (
	stepSync  = "membership sync"
	stepProbe = "membership probe"
)

type connectCaller struct {
	clients *peer.Clients
}

// NewCaller returns a Caller that uses the given peer clients.
func NewCaller(clients *peer.Clients) Caller { return &connectCaller{clients: clients} }

func (c *connectCaller) client(address string) membershipv1connect.MembershipServiceClient {
	return membershipv1connect.NewMembershipServiceClient(
		c.clients.HTTPClient(address), c.clients.URL(address))
}

func (c *connectCaller) Sync(ctx context.Context, address string, r *membershipv1.SyncRequest) (*membershipv1.SyncResponse, error) {
	response, err := c.client(address).Sync(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errs.Wrap(errs.Peer, err, stepSync, address)
	}
	return response.Msg, nil
}

func (c *connectCaller) Probe(ctx context.Context, address string, r *membershipv1.ProbeRequest) (*membershipv1.ProbeResponse, error) {
	response, err := c.client(address).Probe(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errs.Wrap(errs.Peer, err, stepProbe, address)
	}
	return response.Msg, nil
}
