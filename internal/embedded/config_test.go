package embedded

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"

	"galenatrestle/internal/config"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/gen/trestle/operator/v1/operatorv1connect"
	"galenatrestle/internal/operator"
	"galenatrestle/internal/platform/memstore"
)

// operatorOf returns the operators' service of the first node.
func operatorOf(d *Deployment) operatorv1connect.OperatorServiceClient {
	withKey := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+OperatorKey)
			return next(ctx, request)
		}
	})
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+d.Nodes[0].OpsAddress(), connect.WithInterceptors(withKey))
}

// proposeWeight proposes another weight of the first workspace.
func proposeWeight(ctx context.Context, client operatorv1connect.OperatorServiceClient, weight float64) (*operatorv1.Plan, error) {
	shown, err := client.ShowConfig(ctx, connect.NewRequest(&operatorv1.ShowConfigRequest{}))
	if err != nil {
		return nil, err
	}
	document, err := config.Parse(shown.Msg.GetDocument())
	if err != nil {
		return nil, err
	}
	document.Workspaces[0].Weight = weight
	data, err := config.Encode(document)
	if err != nil {
		return nil, err
	}
	proposed, err := client.Propose(ctx, connect.NewRequest(&operatorv1.ProposeRequest{
		Kind: operator.KindConfig, Document: data, BaseRevision: shown.Msg.GetRevision().GetRevision(),
	}))
	if err != nil {
		return nil, err
	}
	return proposed.Msg.GetPlan(), nil
}

func confirm(ctx context.Context, client operatorv1connect.OperatorServiceClient, plan *operatorv1.Plan) (int64, error) {
	confirmed, err := client.Confirm(ctx, connect.NewRequest(&operatorv1.ConfirmRequest{PlanId: plan.GetId()}))
	if err != nil {
		return 0, err
	}
	return confirmed.Msg.GetConfigRevision(), nil
}

// TestConfigurationReachesNodesThatLostThePlatform cuts half of eight nodes off
// the platform and prints how long each change took to be in force on all.
func TestConfigurationReachesNodesThatLostThePlatform(t *testing.T) {
	d := startWith(t, Options{Nodes: 8})
	for node := 4; node < 8; node++ {
		d.CutPlatform(node)
	}
	client := operatorOf(d)
	const changes = 50
	var took []time.Duration
	for change := range changes {
		plan, err := proposeWeight(t.Context(), client, float64(change+2))
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		revision, err := confirm(t.Context(), client, plan)
		if err != nil {
			t.Fatal(err)
		}
		if want := int64(change + 2); revision != want {
			t.Fatalf("accepted as revision %d, want %d", revision, want)
		}
		eventually(t, "in force on all nodes", func() bool { return d.inForce(revision) })
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	t.Logf("confirmed and in force on 8 nodes, 4 without the platform: p50 %s, p99 %s", took[changes/2], took[changes-1])
	status, err := client.GetStatus(t.Context(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	if got := status.Msg; len(got.GetNodes()) != 8 || got.GetConfigRevision() != changes+1 || got.GetPlatform() != "up" {
		t.Errorf("status %+v", got)
	}
}

// TestOutageOfThePlatform checks that callers are served and nothing is accepted.
func TestOutageOfThePlatform(t *testing.T) {
	d := startWith(t, Options{Nodes: 2})
	client := operatorOf(d)
	plan, err := proposeWeight(t.Context(), client, 2)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Platform().Inject(memstore.Fault{Kind: memstore.Down}); err != nil {
		t.Fatal(err)
	}
	if _, err := confirm(t.Context(), client, plan); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("confirmed in an outage: %v", err)
	}
	if text, end := chatStream(t, d, 1, "still there", 2).read(0); end != "[DONE]" || text == "" {
		t.Errorf("answer %q ended by %q", text, end)
	}
	d.Platform().ClearAll()
	revision, err := confirm(t.Context(), client, plan)
	if err != nil || revision != 2 {
		t.Errorf("after the outage: revision %d, %v", revision, err)
	}
	eventually(t, "in force on all nodes", func() bool { return d.inForce(2) })
}
