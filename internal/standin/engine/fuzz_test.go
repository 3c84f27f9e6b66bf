package engine

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"galenatrestle/internal/openai"
)

// FuzzBodies sends outside bytes to every endpoint that takes a body and ends
// at once.
func FuzzBodies(f *testing.F) {
	paths := []string{"/orders", "/kv/export", "/kv/import", "/cancel/x"}
	f.Add(0, `{"kind":"load","model":"a","epoch":3}`)
	f.Add(0, `{"kind":"explode"}`)
	f.Add(1, `{"model":"tab-llm","text":"a b c"}`)
	f.Add(2, `{"hashes":[1,2,18446744073709551615]}`)
	f.Add(2, `{"hashes":[-1]}`)
	f.Add(3, ``)
	e := New(Options{Name: "e1", Model: testModel, CacheTokens: 64, HonoursFencing: true})
	f.Fuzz(func(t *testing.T, which int, body string) {
		path := paths[uint(which)%uint(len(paths))]
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		if w.Code >= http.StatusInternalServerError {
			t.Errorf("%s answers %d to %q", path, w.Code, body)
		}
		if len(e.cache.entries) > 4 || len(e.orders.state.Applied) > maxAppliedOrders {
			t.Errorf("%d blocks, %d orders: over their bounds", len(e.cache.entries), len(e.orders.state.Applied))
		}
	})
}

// FuzzGeneration turns any request into the words it asks for.
func FuzzGeneration(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"a b"}],"max_tokens":3}`)
	f.Add(`{"messages":[{"role":"assistant","content":"a b"}],"continue_final_message":true}`)
	f.Add(`{"prompt":"x","max_tokens":1048576,"priority":-5}`)
	f.Fuzz(func(t *testing.T, body string) {
		var request openai.Request
		if json.Unmarshal([]byte(body), &request) != nil || request.TokenLimit() < 0 || request.TokenLimit() > maxTokenLimit {
			return
		}
		g := newGeneration(&request, "id", 1)
		if g.first < 0 || g.total < 0 {
			t.Errorf("words %d to %d of %q", g.first, g.total, body)
		}
		if limit := request.TokenLimit(); limit > 0 && g.remaining() != limit {
			t.Errorf("%d words to give, want %d", g.remaining(), limit)
		}
		if g.piece(0) == "" {
			t.Errorf("an empty word for %q", body)
		}
	})
}
