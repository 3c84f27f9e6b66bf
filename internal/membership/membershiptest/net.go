// Package membershiptest joins members in memory for tests. It holds no state
// but the handlers given to it.
package membershiptest

import (
	"context"
	"errors"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/gen/trestle/membership/v1/membershipv1connect"
)

// ErrUnreachable is what calls to an address without a handler get.
var ErrUnreachable = errors.New("membershiptest: unreachable")

// Net carries messages between handlers by address; each message is copied as
// on a wire. It implements membership.Caller.
type Net struct {
	mu       sync.Mutex
	handlers map[string]membershipv1connect.MembershipServiceHandler
}

// NewNet returns a net that reaches nobody.
func NewNet() *Net {
	return &Net{handlers: make(map[string]membershipv1connect.MembershipServiceHandler)}
}

// Start makes the handler reachable under the address.
func (n *Net) Start(address string, h membershipv1connect.MembershipServiceHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

// Stop makes the address unreachable.
func (n *Net) Stop(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, address)
}

func (n *Net) handler(address string) (membershipv1connect.MembershipServiceHandler, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, ok := n.handlers[address]; ok {
		return h, nil
	}
	return nil, ErrUnreachable
}

// Sync implements membership.Caller.
func (n *Net) Sync(ctx context.Context, address string, r *membershipv1.SyncRequest) (*membershipv1.SyncResponse, error) {
	h, err := n.handler(address)
	if err != nil {
		return nil, err
	}
	response, err := h.Sync(ctx, connect.NewRequest(proto.CloneOf(r)))
	if err != nil {
		return nil, err
	}
	return proto.CloneOf(response.Msg), nil
}

// Probe implements membership.Caller.
func (n *Net) Probe(ctx context.Context, address string, r *membershipv1.ProbeRequest) (*membershipv1.ProbeResponse, error) {
	h, err := n.handler(address)
	if err != nil {
		return nil, err
	}
	response, err := h.Probe(ctx, connect.NewRequest(proto.CloneOf(r)))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}
