package faultrun

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/embedded"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/gen/trestle/operator/v1/operatorv1connect"
)

// storyTimeout bounds one question, and mostStories their number.
const (
	storyTimeout = 2 * time.Second
	mostStories  = 10
)

// tell adds the nodes' stories of the requests to the violations.
func (r *running) tell(ctx context.Context, list []Violation) {
	client := operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+r.fleet.deployment.Nodes[0].OpsAddress())
	for i := range list[:min(len(list), mostStories)] {
		if id := list[i].requestID(); id != "" {
			list[i].Story = story(ctx, client, id)
		}
	}
}

func story(ctx context.Context, client operatorv1connect.OperatorServiceClient, id string) []string {
	ctx, cancel := context.WithTimeout(ctx, storyTimeout)
	defer cancel()
	request := connect.NewRequest(&operatorv1.ExplainRequest{RequestId: id})
	request.Header().Set("Authorization", "Bearer "+embedded.OperatorKey)
	response, err := client.Explain(ctx, request)
	if err != nil {
		return []string{err.Error()}
	}
	var lines []string
	for _, d := range response.Msg.GetDecisions() {
		at := time.UnixMilli(d.GetAtUnixMs()).UTC().Format(clockFormat)
		lines = append(lines, fmt.Sprintf("%s %s %s %s %s", at, d.GetStep(), d.GetPeer(), d.GetDecision(), d.GetReason()))
	}
	return lines
}
