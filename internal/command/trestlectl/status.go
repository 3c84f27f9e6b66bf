package trestlectl

import (
	"context"
	"fmt"

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
	nodes := console.table("NODE", "ZONE", "STATE", "REVISION", "LOAD", "PLATFORM", "ENTRY")
	for _, node := range status.GetNodes() {
		nodes.row(node.GetName(), node.GetRegion()+"/"+node.GetAvailabilityZone(), node.GetState(),
			node.GetConfigRevision(), fmt.Sprintf("%.2f", node.GetLoad()), node.GetPlatform(), node.GetEntryAddress())
	}
	nodes.flush()
	leases := console.table("LEASE", "HOLDER", "EPOCH")
	for _, name := range status.GetAbsent() {
		console.printf("VM %s  absent: it crashed or is cut off; moves between data centres wait for it; start it again or, if it is off for good: trestlectl intent propose declare dead %s\n", name, name)
	}
	for _, lease := range status.GetLeases() {
		leases.row(lease.GetName(), lease.GetHolder(), lease.GetEpoch())
	}
	leases.flush()
	return nil
}

type explainCommand struct {
	RequestID string `arg:"" name:"request-id" help:"Value of the answer's Trestle-Request-Id header."`
}

// Run prints one decision a line, with the time since the first.
func (c *explainCommand) Run(ctx context.Context, console *console) error {
	client, err := console.client()
	if err != nil {
		return err
	}
	response, err := client.Explain(ctx, connect.NewRequest(&operatorv1.ExplainRequest{RequestId: c.RequestID}))
	if err != nil {
		return err
	}
	decisions := response.Msg.GetDecisions()
	if len(decisions) == 0 {
		return nil
	}
	first := decisions[0].GetAtUnixMs()
	console.printf("request %s, arrived %s\n", c.RequestID, formatTime(first))
	table := console.table("AFTER", "STEP", "DECISION", "PEER", "WHY")
	for _, decision := range decisions {
		table.row(fmt.Sprintf("%d ms", decision.GetAtUnixMs()-first), decision.GetStep(),
			decision.GetDecision(), decision.GetPeer(), decision.GetReason())
	}
	table.flush()
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
