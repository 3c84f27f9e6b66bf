package streamoriginrpc

import (
	"context"

	"connectrpc.com/connect"

	"galenatrestle/internal/boottime"
	streamoriginv1 "galenatrestle/internal/gen/trestle/streamorigin/v1"
	"galenatrestle/internal/gen/trestle/streamorigin/v1/streamoriginv1connect"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/streamorigin"
)

// Client implements streamorigin.Peers. It is safe for concurrent use.
type Client struct {
	clients *peer.Clients
	clock   boottime.Clock
}

// NewClient returns a client that calls the nodes through clients.
func NewClient(clients *peer.Clients, clock boottime.Clock) *Client {
	return &Client{clients: clients, clock: clock}
}

func (c *Client) service(node streamorigin.Node) streamoriginv1connect.StreamOriginServiceClient {
	return streamoriginv1connect.NewStreamOriginServiceClient(c.clients.HTTPClient(node.Address), c.clients.URL(node.Address))
}

// Add implements streamorigin.Peers.
func (c *Client) Add(ctx context.Context, node streamorigin.Node, records []streamorigin.Record, save bool) error {
	_, err := c.service(node).Add(ctx, connect.NewRequest(&streamoriginv1.AddRequest{Streams: ToProto(records, c.clock()), Save: save}))
	return err
}

// Find implements streamorigin.Peers.
func (c *Client) Find(ctx context.Context, node streamorigin.Node, stream streamorigin.StreamID, upstream string) (streamorigin.Answer, error) {
	response, err := c.service(node).Find(ctx, connect.NewRequest(&streamoriginv1.FindRequest{Stream: uint64(stream), Upstream: upstream}))
	if err != nil {
		return streamorigin.Answer{}, err
	}
	m := response.Msg
	a := streamorigin.Answer{Versions: m.GetVersions(), Complete: m.GetComplete()}
	if m.GetFound() != nil {
		if records := FromProto([]*streamoriginv1.Streams{m.GetFound()}, c.clock()); len(records) == 1 {
			a.Record = &records[0]
		}
	}
	return a, nil
}
