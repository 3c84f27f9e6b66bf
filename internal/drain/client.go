package drain

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/errs"
	drainv1 "galenatrestle/internal/gen/trestle/drain/v1"
	"galenatrestle/internal/gen/trestle/drain/v1/drainv1connect"
	"galenatrestle/internal/membership"
)

// callTimeout bounds a call to one node.
const callTimeout = 2 * time.Second

// Dialer finds the HTTP client and base URL for a node's peer address.
type Dialer interface {
	// Dial returns what reaches the peer address.
	Dial(address string) (client *http.Client, baseURL string)
}

// Client calls the nodes.
type Client struct {
	dialer  Dialer
	members Members
}

// Members are the nodes that can be asked.
type Members interface {
	membership.View
	// Regions returns the other regions.
	Regions() []membership.Region
}

// NewClient returns a Client of the members' nodes.
func NewClient(dialer Dialer, members Members) *Client {
	return &Client{dialer: dialer, members: members}
}

// Answer is what one member said of its work.
type Answer struct {
	Member membership.Member
	// Work is nil where Err is not.
	Work *drainv1.GetWorkResponse
	Err  error
}

// All asks all members of this region at once; the answers are in the members' order.
func (c *Client) All(ctx context.Context) []Answer {
	members := c.members.Members()
	answers := make([]Answer, len(members))
	var asking sync.WaitGroup
	for i, member := range members {
		asking.Go(func() {
			work, err := c.Work(ctx, member)
			answers[i] = Answer{Member: member, Work: work, Err: err}
		})
	}
	asking.Wait()
	return answers
}

// Member returns a member that is not dead by its name.
func (c *Client) Member(name string) (membership.Member, bool) {
	for _, member := range c.members.Members() {
		if member.Name == name {
			return member, true
		}
	}
	return membership.Member{}, false
}

// Work returns what the member has in flight.
func (c *Client) Work(ctx context.Context, member membership.Member) (*drainv1.GetWorkResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.service(member.PeerAddress).GetWork(ctx, connect.NewRequest(&drainv1.GetWorkRequest{}))
	if err != nil {
		return nil, errs.Wrap(errs.Peer, err, "ask for work in flight", member.Name)
	}
	return response.Msg, nil
}

// Withdraw takes the member out of service.
func (c *Client) Withdraw(ctx context.Context, member membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.service(member.PeerAddress).Withdraw(ctx, connect.NewRequest(&drainv1.WithdrawRequest{}))
	return errs.Wrap(errs.Peer, err, "withdraw", member.Name)
}

// Restore takes a Withdraw back.
func (c *Client) Restore(ctx context.Context, member membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := c.service(member.PeerAddress).Restore(ctx, connect.NewRequest(&drainv1.RestoreRequest{}))
	return errs.Wrap(errs.Peer, err, "restore", member.Name)
}

// Free asks another data centre's node what the upstreams have free there.
func (c *Client) Free(ctx context.Context, address string, upstreams []string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := c.service(address).GetFree(ctx, connect.NewRequest(&drainv1.GetFreeRequest{Upstreams: upstreams}))
	if err != nil {
		return 0, errs.Wrap(errs.Peer, err, "ask for free slots", address)
	}
	return response.Msg.GetSlots(), nil
}

func (c *Client) service(address string) drainv1connect.DrainServiceClient {
	client, baseURL := c.dialer.Dial(address)
	return drainv1connect.NewDrainServiceClient(client, baseURL)
}
