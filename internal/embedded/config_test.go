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

// halfCut starts eight nodes of which four have lost the platform.
func halfCut(t testing.TB) *Deployment {
	d := startWith(t, Options{Nodes: 8})
	for node := 4; node < 8; node++ {
		d.CutPlatform(node)
	}
	return d
}

// change has one more weight accepted and returns how long it took from the
// confirmation until it was in force on all nodes.
func change(t testing.TB, d *Deployment, client operatorv1connect.OperatorServiceClient, weight int) (int64, time.Duration) {
	t.Helper()
	plan, err := proposeWeight(t.Context(), client, float64(weight))
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	revision, err := confirm(t.Context(), client, plan)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "in force on all nodes", func() bool { return d.inForce(revision) })
	return revision, time.Since(start)
}

func TestConfigurationReachesNodesThatLostThePlatform(t *testing.T) {
	d := halfCut(t)
	client := operatorOf(d)
	const changes = 8
	for i := range changes {
		if revision, _ := change(t, d, client, i+2); revision != int64(i+2) {
			t.Fatalf("accepted as revision %d, want %d", revision, i+2)
		}
	}
	status, err := client.GetStatus(t.Context(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	if got := status.Msg; len(got.GetNodes()) != 8 || got.GetConfigRevision() != changes+1 || got.GetPlatform() != "up" {
		t.Errorf("status %+v", got)
	}
}

// changePause keeps changes apart, so that the node's own budget of calls to
// the platform is not what is measured.
const changePause = 500 * time.Millisecond

// BenchmarkChangeInForce measures a change from its confirmation until it is in
// force on eight nodes, of which four have lost the platform.
func BenchmarkChangeInForce(b *testing.B) {
	d := halfCut(b)
	client := operatorOf(d)
	var took []time.Duration
	for b.Loop() {
		time.Sleep(changePause)
		_, one := change(b, d, client, len(took)+2)
		took = append(took, one)
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "longest-ms")
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
