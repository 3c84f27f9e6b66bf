package handover

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"galenatrestle/internal/errs"
	handoverv1 "galenatrestle/internal/gen/trestle/handover/v1"
	"galenatrestle/internal/gen/trestle/handover/v1/handoverv1connect"
)

// errNotArmed says that a node knows a newer driver or a later phase.
var errNotArmed = errors.New("handover: the node did not arm")

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
}

// NewNodeClient returns a NodeClient.
func NewNodeClient(dialer Dialer, address func(node string) string) *NodeClient {
	return &NodeClient{dialer: dialer, address: address}
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
