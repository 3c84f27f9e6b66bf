package embedded

import (
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"galenatrestle/internal/replicaconn"
)

// A node that was cut off from all replicas refused every call, though the other nodes could have
// reached them.
func TestNodeCutOffFromAllReplicasServesItsCallers(t *testing.T) {
	d := startWith(t, Options{Nodes: 3, DialReplica: func(node int) replicaconn.Dial {
		if node != 0 {
			return nil
		}
		return func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	}})
	const calls = 10
	served := 0
	for range calls {
		text, end := chatStream(t, d, 0, "why does the torque sensor read zero", 4).read(0)
		if text != "" && end == "[DONE]" {
			served++
		}
	}
	// The first call may find the path lost only after its attempts.
	if served < calls-1 {
		t.Errorf("%d of %d chats were served", served, calls)
	}
	if status := claimAt(t, d, 0); status != http.StatusOK {
		t.Errorf("a call to a plain service got status %d", status)
	}
}

// claimAt makes a call to a plain service that may not be repeated.
func claimAt(t *testing.T, d *Deployment, node int) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Nodes[node].EntryAddress()+"/services/member-ledger/claims", strings.NewReader(`{"account":"shop-17"}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+PrairieKey)
	request.Header.Set("Idempotency-Key", "claim-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}
