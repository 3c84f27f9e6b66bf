package claim

import (
	"testing"

	"galenatrestle/internal/refusal"
)

func TestLookupMakesNoClaim(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster, nodes []*testNode) {
		content := FingerprintOf("POST", "/claims", []byte("body"))
		writes := writesOf(c.store)
		for _, node := range nodes {
			if grant, known, err := node.Lookup(t.Context(), testKey, content); known || err != nil {
				t.Errorf("%s before the claim: %v %v", node.name, grant.Verdict, err)
			}
		}
		if after := writesOf(c.store); after != writes {
			t.Errorf("asking wrote %d times", after-writes)
		}
		grant, err := nodes[1].Begin(t.Context(), testKey, content)
		if err != nil || grant.Verdict != Run {
			t.Fatalf("Begin = %v %v, want the right to run", grant.Verdict, err)
		}
		if grant, known, err := nodes[2].Lookup(t.Context(), testKey, content); !known || err != nil || grant.Verdict != InProgress {
			t.Errorf("while it runs: %v %v %v", grant.Verdict, known, err)
		}
		answer := Answer{Status: 201, Body: []byte("done")}
		if err := nodes[1].Finish(t.Context(), grant.Token, Outcome{Kind: OutcomeRecorded, Answer: answer}); err != nil {
			t.Fatal(err)
		}
		for _, node := range nodes {
			grant, known, err := node.Lookup(t.Context(), testKey, content)
			if !known || err != nil || grant.Verdict != Recorded || string(grant.Answer.Body) != "done" {
				t.Errorf("%s after the record: %v %v %v %q", node.name, grant.Verdict, known, err, grant.Answer.Body)
			}
		}
		_, _, err = nodes[0].Lookup(t.Context(), testKey, FingerprintOf("POST", "/claims", []byte("other")))
		if refused := refusal.From(err); err == nil || refused.Reason != refusal.IdempotencyKeyReused {
			t.Errorf("another content got %v", err)
		}
	})
}

func writesOf(store *fakeStore) int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.writes
}
