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
			if result, known, err := node.Lookup(t.Context(), testKey, content); known || err != nil {
				t.Errorf("%s before the claim: %v %v", node.name, result.Verdict, err)
			}
		}
		if after := writesOf(c.store); after != writes {
			t.Errorf("Lookup wrote to the platform %d times", after-writes)
		}
		result, err := nodes[1].Begin(t.Context(), testKey, content)
		if err != nil || result.Verdict != Run {
			t.Fatalf("Begin = %v %v, want run", result.Verdict, err)
		}
		if result, known, err := nodes[2].Lookup(t.Context(), testKey, content); !known || err != nil || result.Verdict != InProgress {
			t.Errorf("while it runs: %v %v %v", result.Verdict, known, err)
		}
		answer := Answer{Status: 201, Body: []byte("done")}
		if err := nodes[1].Finish(t.Context(), result.Token, Outcome{Kind: OutcomeRecorded, Answer: answer}); err != nil {
			t.Fatal(err)
		}
		for _, node := range nodes {
			result, known, err := node.Lookup(t.Context(), testKey, content)
			if !known || err != nil || result.Verdict != Recorded || string(result.Answer.Body) != "done" {
				t.Errorf("%s after the record: %v %v %v %q", node.name, result.Verdict, known, err, result.Answer.Body)
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
