package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/errs"
	handoverv1 "galenatrestle/internal/gen/trestle/handover/v1"
	"galenatrestle/internal/gen/trestle/handover/v1/handoverv1connect"
)

// errNotArmed says that a node knows a newer driver or a later phase.
var errNotArmed = errors.New("handover: the node did not arm")

// errNotStopped says that permission which a node lent to others may last.
var errNotStopped = errors.New("handover: the node has lent permission that is not over yet")

// errNotVouched says that no node could lend permission.
var errNotVouched = errors.New("handover: no peer vouches")

// Dialer finds the HTTP client and base URL for a node's peer address.
type Dialer interface {
	// Dial returns what reaches the peer address.
	Dial(address string) (client *http.Client, baseURL string)
}

// NodeClient calls the nodes of this data centre over connect; it implements
// Nodes and Permits.
type NodeClient struct {
	dialer Dialer
	// address returns the peer address of a registered node, empty where the
	// members don't know it.
	address func(node string) string
	// peers returns the other nodes' peer addresses.
	peers func() []string
}

// NewNodeClient returns a NodeClient.
func NewNodeClient(dialer Dialer, address func(node string) string, peers func() []string) *NodeClient {
	return &NodeClient{dialer: dialer, address: address, peers: peers}
}

func (c *NodeClient) service(address string) handoverv1connect.NodeServiceClient {
	client, baseURL := c.dialer.Dial(address)
	return handoverv1connect.NewNodeServiceClient(client, baseURL)
}

func (c *NodeClient) find(node string) (string, error) {
	address := c.address(node)
	if address == "" {
		return "", fmt.Errorf("handover: node %s is registered, but no member has its name", node)
	}
	return address, nil
}

// Arm implements Nodes.
func (c *NodeClient) Arm(ctx context.Context, node string, m Move) error {
	address, err := c.find(node)
	if err != nil {
		return err
	}
	response, err := c.service(address).Arm(ctx, connect.NewRequest(&handoverv1.ArmRequest{
		MoveId: m.ID, Set: setToWire(m.Set), Epoch: m.DriverEpoch, Driver: m.Driver,
	}))
	if err == nil && !response.Msg.GetArmed() {
		err = errNotArmed
	}
	return errs.Wrap(errs.Peer, err, "arm", address)
}

// Stop implements Nodes.
func (c *NodeClient) Stop(ctx context.Context, node string, m Move) (int64, error) {
	address, err := c.find(node)
	if err != nil {
		return 0, err
	}
	response, err := c.service(address).Stop(ctx, connect.NewRequest(&handoverv1.StopRequest{
		MoveId: m.ID, Set: setToWire(m.Set), Epoch: m.DriverEpoch,
		Opened: m.Phase == PhaseOpened, RelayAddress: m.RelayAddress,
	}))
	if err != nil {
		return 0, errs.Wrap(errs.Peer, err, "stop", address)
	}
	if !response.Msg.GetStopped() {
		return 0, errs.Wrap(errs.Peer, errNotStopped, "stop", address)
	}
	return response.Msg.GetInFlight(), nil
}

// Permit implements Permits.
func (c *NodeClient) Permit(ctx context.Context, ask Ask, node string) (bool, error) {
	response, err := c.service(ask.Driver).Permit(ctx, connect.NewRequest(&handoverv1.PermitRequest{
		MoveId: ask.MoveID, Node: node, Epoch: ask.Epoch,
	}))
	if err != nil {
		return false, errs.Wrap(errs.Peer, err, "ask for a permit", ask.Driver)
	}
	return response.Msg.GetPermitted(), nil
}

// Vouch implements Vouchers: the first peer that lends permission counts.
func (c *NodeClient) Vouch(ctx context.Context, node string) (Vouch, error) {
	for _, address := range c.peers() {
		response, err := c.service(address).Vouch(ctx, connect.NewRequest(&handoverv1.VouchRequest{Node: node}))
		if err != nil || !response.Msg.GetVouched() {
			continue
		}
		v := Vouch{Term: time.Duration(response.Msg.GetTermMs()) * time.Millisecond}
		if err := json.Unmarshal(response.Msg.GetMoves(), &v.Moves); err != nil {
			return v, errs.Wrap(errs.Peer, err, "read a vouch", address)
		}
		return v, nil
	}
	return Vouch{}, errNotVouched
}
