package claimrpc

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	"galenatrestle/internal/claim"
	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/gen/trestle/claim/v1/claimv1connect"
	"galenatrestle/internal/refusal"
)

// Client forwards claims to other nodes. It implements claim.Peers.
type Client struct {
	scheme string
	http   connect.HTTPClient

	mu sync.Mutex
	// byAddress caches one client per address. Entries are never removed.
	byAddress map[string]claimv1connect.ClaimServiceClient
}

var _ claim.Peers = (*Client)(nil)

// NewClient returns a client that uses the given HTTP client, with scheme "http" or
// "https".
func NewClient(scheme string, httpClient connect.HTTPClient) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{scheme: scheme, http: httpClient, byAddress: make(map[string]claimv1connect.ClaimServiceClient)}
}

// Begin implements claim.Peers.
func (c *Client) Begin(ctx context.Context, address string, request claim.BeginRequest) (claim.BeginReply, error) {
	message := &claimv1.BeginRequest{
		Key:         claim.KeyToProto(request.Key),
		Fingerprint: request.CallFingerprint[:],
		Attempt:     request.Attempt[:],
		Node:        request.Node,
		Boot:        request.Boot[:],
		KnownOnly:   request.KnownOnly,
	}
	response, err := c.clientFor(address).Begin(ctx, connect.NewRequest(message))
	if err != nil {
		return claim.BeginReply{}, err
	}
	reply := claim.BeginReply{
		Verdict:   claim.Verdict(response.Msg.GetVerdict()),
		Refused:   refusal.Reason(response.Msg.GetRefusal()),
		NotHolder: response.Msg.GetNotHolder(),
		Hint:      claim.Hint{Holder: response.Msg.GetHolder(), Epoch: response.Msg.GetHolderEpoch()},
	}
	if answer := response.Msg.GetAnswer(); answer != nil {
		reply.Answer = claim.AnswerFromProto(answer)
	}
	return reply, nil
}

// Finish implements claim.Peers.
func (c *Client) Finish(ctx context.Context, address string, request claim.FinishRequest) (claim.FinishReply, error) {
	message := &claimv1.FinishRequest{
		Key:     claim.KeyToProto(request.Key),
		Attempt: request.Attempt[:],
		Phase:   request.Phase,
		Answer:  request.Answer,
	}
	response, err := c.clientFor(address).Finish(ctx, connect.NewRequest(message))
	if err != nil {
		return claim.FinishReply{}, err
	}
	return claim.FinishReply{
		NotHolder: response.Msg.GetNotHolder(),
		Hint:      claim.Hint{Holder: response.Msg.GetHolder(), Epoch: response.Msg.GetHolderEpoch()},
	}, nil
}

func (c *Client) clientFor(address string) claimv1connect.ClaimServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, known := c.byAddress[address]
	if !known {
		client = claimv1connect.NewClaimServiceClient(c.http, c.scheme+"://"+address)
		c.byAddress[address] = client
	}
	return client
}
