package trestlectl

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/config"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/gen/trestle/operator/v1/operatorv1connect"
	"galenatrestle/internal/operator"
)

// statusPeriod is how often apply asks how far a revision has spread.
const statusPeriod = 200 * time.Millisecond

type checkCommand struct {
	File string `arg:"" help:"YAML document; - for standard input."`
}

// Run parses the document on this machine.
func (c *checkCommand) Run(console *console) error {
	data, err := readDocument(c.File)
	if err != nil {
		return err
	}
	document, err := config.Parse(data)
	if err != nil {
		return fmt.Errorf("%s is refused:\n%w", c.File, err)
	}
	console.printf("%s is valid: %d workspaces, %d classes, %d upstreams\n",
		c.File, len(document.Workspaces), len(document.Classes), len(document.Upstreams))
	return nil
}

type applyCommand struct {
	File          string        `arg:"" help:"YAML document; - for standard input."`
	Base          int64         `help:"Revision that the document was edited from; refused as stale if another is newest."`
	Confirm       bool          `help:"Confirm the plan at once."`
	Wait          time.Duration `help:"How long to wait until it is in force everywhere." default:"10s"`
	AboveRestored bool          `help:"Apply on top of what is in force although the platform was restored to an older configuration."`
}

// Run proposes the document and, where asked to, confirms the plan.
func (c *applyCommand) Run(ctx context.Context, console *console) error {
	data, err := readDocument(c.File)
	if err != nil {
		return err
	}
	if _, err := config.Parse(data); err != nil {
		return fmt.Errorf("%s is refused:\n%w", c.File, err)
	}
	client, err := console.client()
	if err != nil {
		return err
	}
	response, err := client.Propose(ctx, connect.NewRequest(&operatorv1.ProposeRequest{
		Kind: operator.KindConfig, Document: data, BaseRevision: c.Base, AboveRestored: c.AboveRestored,
	}))
	if err != nil {
		return err
	}
	plan := response.Msg.GetPlan()
	console.printPlan(plan)
	if !c.Confirm {
		console.printf("nothing is changed yet; to apply: trestlectl intent confirm %s\n", plan.GetId())
		return nil
	}
	return console.confirm(ctx, client, &operatorv1.ConfirmRequest{PlanId: plan.GetId()}, c.Wait)
}

// confirm says accepted only once the node said so, then follows the spread.
func (c *console) confirm(ctx context.Context, client operatorv1connect.OperatorServiceClient, request *operatorv1.ConfirmRequest, wait time.Duration) error {
	response, err := client.Confirm(ctx, connect.NewRequest(request))
	if err != nil {
		return withoutAnswer(err)
	}
	revision := response.Msg.GetConfigRevision()
	if revision == 0 {
		c.printf("accepted %s: %s\n", request.GetPlanId(), planState(response.Msg.GetPlan().GetState()))
		return nil
	}
	c.printf("accepted as revision %d\n", revision)
	inForce, members := response.Msg.GetInForceOn(), response.Msg.GetMembers()
	for end := time.Now().Add(wait); inForce < members && time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(statusPeriod)
		status, err := client.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{ConfigRevision: revision}))
		if err != nil {
			return err
		}
		inForce, members = status.Msg.GetInForceOn(), int32(len(status.Msg.GetNodes()))
	}
	c.printf("in force on %d of %d nodes\n", inForce, members)
	return nil
}

type showCommand struct {
	Revision int64 `help:"Revision to show. Default: the one in force at the node."`
}

// Run prints YAML alone, so that it can be edited and applied again.
func (c *showCommand) Run(ctx context.Context, console *console) error {
	client, err := console.client()
	if err != nil {
		return err
	}
	response, err := client.ShowConfig(ctx, connect.NewRequest(&operatorv1.ShowConfigRequest{Revision: c.Revision}))
	if err != nil {
		return err
	}
	console.printf("# revision %d by %s\n%s", response.Msg.GetRevision().GetRevision(),
		response.Msg.GetRevision().GetAuthor(), response.Msg.GetDocument())
	return nil
}

type historyCommand struct{}

// Run lists the kept revisions.
func (c *historyCommand) Run(ctx context.Context, console *console) error {
	client, err := console.client()
	if err != nil {
		return err
	}
	response, err := client.ListConfigHistory(ctx, connect.NewRequest(&operatorv1.ListConfigHistoryRequest{}))
	if err != nil {
		return err
	}
	for _, revision := range response.Msg.GetRevisions() {
		console.printf("%d  %s  %s  %s\n", revision.GetRevision(),
			formatTime(revision.GetAcceptedAtUnixMs()), revision.GetAuthor(), revision.GetSummary())
	}
	return nil
}

type diffCommand struct {
	From int64 `arg:"" help:"Older revision."`
	To   int64 `arg:"" optional:"" help:"Newer revision. Default: the one in force at the node."`
}

// Run prints one change a line.
func (c *diffCommand) Run(ctx context.Context, console *console) error {
	client, err := console.client()
	if err != nil {
		return err
	}
	response, err := client.DiffConfig(ctx, connect.NewRequest(&operatorv1.DiffConfigRequest{
		FromRevision: c.From, ToRevision: c.To,
	}))
	if err != nil {
		return err
	}
	console.printChanges("", response.Msg.GetChanges())
	return nil
}
