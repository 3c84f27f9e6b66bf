package inspect

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/answer"
	"galenatrestle/internal/answer/answerrpc"
	inspectv1 "galenatrestle/internal/gen/trestle/inspect/v1"
	"galenatrestle/internal/gen/trestle/inspect/v1/inspectv1connect"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

const (
	// askTimeout bounds one question to a node.
	askTimeout = 2 * time.Second
	// maxMessageBytes bounds a node's answer.
	maxMessageBytes = 1 << 20
)

// Asker asks this node and others. It is safe for concurrent use.
type Asker struct {
	sources Sources
	locate  answerrpc.Locate
	dialer  answerrpc.Dialer
}

// NewAsker returns an asker of the node that sources are of.
func NewAsker(sources Sources, locate answerrpc.Locate, dialer answerrpc.Dialer) *Asker {
	return &Asker{sources: sources, locate: locate, dialer: dialer}
}

// Explain returns what happened to a request, from the node that its id names.
// The error is a *connect.Error that says why nothing is known.
func (a *Asker) Explain(ctx context.Context, id string) ([]*operatorv1.Decision, error) {
	node, err := answer.NodeOf(id)
	if err != nil {
		return nil, unknown(connect.CodeInvalidArgument, id, "not a request id; it is the value of an answer's Trestle-Request-Id header")
	}
	told, err := a.explainAt(ctx, node, id)
	if err != nil {
		return nil, err
	}
	if len(told.GetDecisions()) == 0 {
		return nil, unknown(connect.CodeNotFound, id, notKept(node, told))
	}
	return told.GetDecisions(), nil
}

func (a *Asker) explainAt(ctx context.Context, node, id string) (*inspectv1.ExplainResponse, error) {
	if node == a.sources.Node {
		return tell(a.sources.Explain, id), nil
	}
	address, ok := a.locate(node)
	if !ok {
		return nil, unknown(connect.CodeNotFound, id, fmt.Sprintf("node %s is not a member: it was stopped or replaced. Timelines are kept in a node's memory alone, so this one is lost", node))
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := a.client(address).Explain(ctx, connect.NewRequest(&inspectv1.ExplainRequest{RequestId: id}))
	if err != nil {
		return nil, unknown(connect.CodeUnavailable, id, fmt.Sprintf("node %s at %s, which keeps the request's timeline in its memory, gave no answer: %v", node, address, err))
	}
	return response.Msg, nil
}

// Report returns what the node at the address tells of itself, or the error of
// the call.
func (a *Asker) Report(ctx context.Context, node, address string) (*inspectv1.ReportResponse, error) {
	if node == a.sources.Node {
		return a.sources.Report(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := a.client(address).Report(ctx, connect.NewRequest(&inspectv1.ReportRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (a *Asker) client(address string) inspectv1connect.InspectServiceClient {
	return inspectv1connect.NewInspectServiceClient(a.dialer.HTTPClient(address), a.dialer.URL(address),
		connect.WithReadMaxBytes(maxMessageBytes))
}

func unknown(code connect.Code, id, message string) error {
	return connect.NewError(code, fmt.Errorf("field request_id value %q: %s", id, message))
}

// notKept says why a node that runs does not have a timeline.
func notKept(node string, told *inspectv1.ExplainResponse) string {
	message := fmt.Sprintf("node %s has no such request. It keeps timelines in its memory alone, since its process started at %s", node, utc(told.GetSinceUnixMs()))
	if told.GetOldestUnixMs() == 0 {
		return message + ", and has none"
	}
	return message + fmt.Sprintf("; the oldest it has is of %s, and what was before is evicted or was lost with an earlier process", utc(told.GetOldestUnixMs()))
}

func utc(unixMs int64) string { return time.UnixMilli(unixMs).UTC().Format(time.RFC3339) }
