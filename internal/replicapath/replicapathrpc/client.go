package replicapathrpc

import (
	"context"
	"net"
	"os"
	"syscall"

	replicapathv1 "galenatrestle/internal/gen/trestle/replicapath/v1"
	"galenatrestle/internal/gen/trestle/replicapath/v1/replicapathv1connect"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/replicapath"
)

// Client opens connections to replicas through other nodes. It is safe for concurrent use.
type Client struct{ clients *peer.Clients }

// NewClient returns a client that calls the nodes through clients.
func NewClient(clients *peer.Clients) *Client { return &Client{clients: clients} }

// DialThrough opens a connection to the replica's address through the helper. ctx bounds only
// the opening.
func (c *Client) DialThrough(ctx context.Context, helper replicapath.Helper, address string) (net.Conn, error) {
	streamCtx, cancel := context.WithCancel(context.Background())
	stopOpening := context.AfterFunc(ctx, cancel)
	stream := replicapathv1connect.NewReplicaPathServiceClient(c.clients.HTTPClient(helper.Address), c.clients.URL(helper.Address)).Connect(streamCtx)
	err := open(stream, address)
	if !stopOpening() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		endStream(stream, cancel)
		return nil, &replicapath.RelayError{Address: address, Helper: helper.Name, Err: err}
	}
	return newConn(stream, cancel, helper.Name, address), nil
}

// open sends the address and awaits the outcome.
func open(stream *clientStream, address string) error {
	// If the stream has ended, Receive returns the reason.
	_ = stream.Send(&replicapathv1.ConnectRequest{Address: address})
	response, err := stream.Receive()
	if err != nil {
		return err
	}
	switch response.GetOutcome() {
	case replicapathv1.Outcome_OUTCOME_CONNECTED:
		return nil
	case replicapathv1.Outcome_OUTCOME_REFUSED:
		return os.NewSyscallError("connect", syscall.ECONNREFUSED)
	case replicapathv1.Outcome_OUTCOME_PATH_LOST:
		return replicapath.ErrPathLost
	default:
		return replicapath.ErrUnreachable
	}
}
