package trestlectl

import (
	"context"
	"time"

	"connectrpc.com/connect"

	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

type proposeCommand struct {
	Words    []string          `arg:"" help:"What is wanted: 'move upstream NAME', 'move workspaces A,B', 'drain vm NAME', 'drain replica NAME', 'load model NAME', 'unload model NAME', 'change role ROLE', 'declare dead VM', or a kind and --set."`
	To       string            `help:"Data centre that a move goes to." placeholder:"DATA-CENTRE"`
	Upstream string            `help:"Upstream of a replica, of a model or of a role."`
	Replica  string            `help:"Replica that a load, an unload or a change of role is for. Default: all of the upstream, one after the other."`
	Version  string            `name:"model-version" help:"Version of the model or adapter to load." placeholder:"VERSION"`
	Set      map[string]string `help:"Parameter of the intent; may be repeated." placeholder:"NAME=VALUE"`
	File     string            `help:"YAML document of an intent of kind config." placeholder:"FILE"`
}

// Run prints the plan.
func (c *proposeCommand) Run(ctx context.Context, console *console) error {
	kind, parameters, err := c.intent()
	if err != nil {
		return err
	}
	request := &operatorv1.ProposeRequest{Kind: kind, Parameters: parameters}
	if c.File != "" {
		data, err := readDocument(c.File)
		if err != nil {
			return err
		}
		request.Document = data
	}
	client, err := console.client()
	if err != nil {
		return err
	}
	response, err := client.Propose(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	console.printPlan(response.Msg.GetPlan())
	console.printf("nothing is changed yet; to go on: trestlectl intent confirm %s\n", response.Msg.GetPlan().GetId())
	return nil
}

type confirmCommand struct {
	PlanID     string        `arg:"" name:"plan-id" help:"Plan to confirm."`
	AcceptRisk bool          `help:"Take the plan's risks."`
	Wait       time.Duration `help:"How long to wait until a configuration is in force everywhere." default:"10s"`
}

// Run confirms the plan.
func (c *confirmCommand) Run(ctx context.Context, console *console) error {
	client, err := console.client()
	if err != nil {
		return err
	}
	request := &operatorv1.ConfirmRequest{PlanId: c.PlanID, AcceptRisk: c.AcceptRisk}
	return console.confirm(ctx, client, request, c.Wait)
}

type abandonCommand struct {
	PlanID string `arg:"" name:"plan-id" help:"Plan to drop."`
}

// Run abandons the plan.
func (c *abandonCommand) Run(ctx context.Context, console *console) error {
	client, err := console.client()
	if err != nil {
		return err
	}
	response, err := client.Abandon(ctx, connect.NewRequest(&operatorv1.AbandonRequest{PlanId: c.PlanID}))
	if err != nil {
		return err
	}
	console.printf("plan %s is %s\n", c.PlanID, planState(response.Msg.GetPlan().GetState()))
	return nil
}

type planStatusCommand struct {
	PlanID string `arg:"" optional:"" name:"plan-id" help:"Plan to show. Default: all that are kept."`
}

// Run prints one plan whole, or one line for each.
func (c *planStatusCommand) Run(ctx context.Context, console *console) error {
	client, err := console.client()
	if err != nil {
		return err
	}
	if c.PlanID != "" {
		response, err := client.GetPlan(ctx, connect.NewRequest(&operatorv1.GetPlanRequest{PlanId: c.PlanID}))
		if err != nil {
			return err
		}
		console.printPlan(response.Msg.GetPlan())
		return nil
	}
	response, err := client.ListPlans(ctx, connect.NewRequest(&operatorv1.ListPlansRequest{}))
	if err != nil {
		return err
	}
	for _, plan := range response.Msg.GetPlans() {
		console.printf("%s  %s  %s  %s  base %d\n", plan.GetId(), plan.GetKind(), planState(plan.GetState()),
			plan.GetAuthor(), plan.GetBaseRevision())
	}
	return nil
}
