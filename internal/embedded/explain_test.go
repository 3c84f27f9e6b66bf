package embedded

import (
	"context"
	"slices"
	"strings"
	"testing"

	"connectrpc.com/connect"

	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/standin/fault"
)

func explain(d *Deployment, id string) ([]*operatorv1.Decision, error) {
	response, err := operatorOf(d).Explain(context.Background(), connect.NewRequest(&operatorv1.ExplainRequest{RequestId: id}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetDecisions(), nil
}

func decisionsOf(timeline []*operatorv1.Decision) []string {
	var decisions []string
	for _, d := range timeline {
		decisions = append(decisions, d.GetDecision())
	}
	return decisions
}

// TestExplainAtAnotherNode breaks a request's first attempt, asks another node
// than the request's for the timeline, and then ends the node that had it.
func TestExplainAtAnotherNode(t *testing.T) {
	d := startWith(t, Options{})
	switchAll(t, d, fault.Spec{Kind: fault.CrashMidAnswer})
	body := `{"model":"trestle-llm","max_tokens":6,"messages":[{"role":"user","content":"` + prompt + `"}]}`
	stream := openStream(t, d, 1, "POST", "/v1/chat/completions", body, nil)
	id := stream.response.Header.Get("Trestle-Request-Id")
	timeline, err := explain(d, id)
	if err != nil {
		t.Fatal(err)
	}
	decisions := decisionsOf(timeline)
	for _, want := range []string{"received", "attempt 1 bound", "attempt 1 started", "attempt 1 ended without a whole answer", "attempt 2 bound"} {
		if !slices.Contains(decisions, want) {
			t.Errorf("no %q in %q", want, decisions)
		}
	}
	if last := decisions[len(decisions)-1]; !strings.HasPrefix(last, "answered") && !strings.HasPrefix(last, "refused") {
		t.Errorf("the timeline ends with %q", last)
	}
	d.Kill(1)
	_, err = explain(d, id)
	if code := connect.CodeOf(err); code != connect.CodeUnavailable && code != connect.CodeNotFound {
		t.Errorf("after its node's end: %v", err)
	}
	if !strings.Contains(err.Error(), "memory") {
		t.Errorf("%v does not say that the timeline was in the node's memory", err)
	}
}

func TestStatusNamesTheLeasesHolders(t *testing.T) {
	d := startWith(t, Options{})
	eventually(t, "every lease has one holder", func() bool {
		status, err := operatorOf(d).GetStatus(context.Background(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		holders := make(map[string][]string)
		for _, lease := range status.Msg.GetLeases() {
			holders[lease.GetName()] = append(holders[lease.GetName()], lease.GetHolder())
		}
		for _, node := range status.Msg.GetNodes() {
			if !strings.HasPrefix(node.GetPlatform(), "up") || node.GetConfigRevision() != status.Msg.GetConfigRevision() {
				return false
			}
		}
		names := []string{"control", "claims/0000/", "claims/0001/", "claims/0002/", "claims/0003/"}
		return len(holders) == len(names) && !slices.ContainsFunc(names, func(name string) bool { return len(holders[name]) != 1 })
	})
	d.Kill(2)
	eventually(t, "the dead node is not said to answer", func() bool {
		status, err := operatorOf(d).GetStatus(context.Background(), connect.NewRequest(&operatorv1.GetStatusRequest{}))
		if err != nil {
			t.Fatal(err)
		}
		for _, node := range status.Msg.GetNodes() {
			if node.GetName() == "vm-2" && node.GetPlatform() != "node gave no answer" {
				return false
			}
		}
		return true
	})
}
