// Package membershiptest provides an in-memory network for tests of membership.
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

// ErrUnreachable is returned for calls to an address without a handler.
var ErrUnreachable = errors.New("membershiptest: no handler registered at the address")

// Network delivers copies of messages to handlers by address. It implements
// membership.Caller.
type Network struct {
	mu       sync.Mutex
	handlers map[string]membershipv1connect.MembershipServiceHandler
}

// NewNetwork returns a Network without handlers.
func NewNetwork() *Network {
	return &Network{handlers: make(map[string]membershipv1connect.MembershipServiceHandler)}
}

// Register makes the handler reachable at the address.
func (n *Network) Register(address string, h membershipv1connect.MembershipServiceHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

// Unregister makes the address unreachable.
func (n *Network) Unregister(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, address)
}

func (n *Network) handler(address string) (membershipv1connect.MembershipServiceHandler, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h, ok := n.handlers[address]; ok {
		return h, nil
	}
	return nil, ErrUnreachable
}

// Sync implements membership.Caller.
func (n *Network) Sync(ctx context.Context, address string, r *membershipv1.SyncRequest) (*membershipv1.SyncResponse, error) {
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
func (n *Network) Probe(ctx context.Context, address string, r *membershipv1.ProbeRequest) (*membershipv1.ProbeResponse, error) {
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
