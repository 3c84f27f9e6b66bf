package trestlectl

import (
	"context"

	"connectrpc.com/connect"

	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

type statusCommand struct {
	Revision int64 `help:"Configuration revision to count. Default: the node's own."`
}

// Run prints the nodes and the leases.
func (c *statusCommand) Run(ctx context.Context, console *console) error {
	client, err := console.client()
	if err != nil {
		return err
	}
	response, err := client.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{ConfigRevision: c.Revision}))
	if err != nil {
		return err
	}
	status := response.Msg
	console.printf("platform: %s\nconfiguration: revision %d in force on %d of %d nodes\n",
		status.GetPlatform(), status.GetConfigRevision(), status.GetInForceOn(), len(status.GetNodes()))
	for _, node := range status.GetNodes() {
		console.printf("node %s  %s/%s  %s  revision %d  load %.2f  %s\n", node.GetName(), node.GetRegion(),
			node.GetAvailabilityZone(), node.GetState(), node.GetConfigRevision(), node.GetLoad(), node.GetEntryAddress())
	}
	for _, lease := range status.GetLeases() {
		console.printf("lease %s  %s  epoch %d\n", lease.GetName(), lease.GetHolder(), lease.GetEpoch())
	}
	return nil
}

type explainCommand struct {
	RequestID string `arg:"" name:"request-id" help:"Value of the answer's Trestle-Request-Id header."`
}

// Run prints one decision a line.
func (c *explainCommand) Run(ctx context.Context, console *console) error {
	client, err := console.client()
	if err != nil {
		return err
	}
	response, err := client.Explain(ctx, connect.NewRequest(&operatorv1.ExplainRequest{RequestId: c.RequestID}))
	if err != nil {
		return err
	}
	for _, decision := range response.Msg.GetDecisions() {
		console.printf("%s  %s  %s  %s  %s\n", formatTime(decision.GetAtUnixMs()), decision.GetStep(),
			decision.GetPeer(), decision.GetDecision(), decision.GetReason())
	}
	return nil
}

type entriesCommand struct {
	AvailabilityZone string `help:"Caller's availability zone: its entries come first."`
}

// Run prints one address a line.
func (c *entriesCommand) Run(ctx context.Context, console *console) error {
	client, err := console.client()
	if err != nil {
		return err
	}
	response, err := client.ListEntries(ctx, connect.NewRequest(&operatorv1.ListEntriesRequest{
		AvailabilityZone: c.AvailabilityZone,
	}))
	if err != nil {
		return err
	}
	for _, entry := range response.Msg.GetEntries() {
		console.printf("%s  %s  %s\n", entry.GetAddress(), entry.GetAvailabilityZone(), entry.GetState())
	}
	return nil
}
