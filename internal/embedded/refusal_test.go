package embedded

import (
	"encoding/json"
	"strings"
	"testing"

	"galenatrestle/internal/openai"
)

// TestRefusals sends what the callers' contract forbids and checks status,
// outcome, reason and the field named.
func TestRefusals(t *testing.T) {
	d := startDeployment(t)
	key := "Bearer " + PrairieKey
	chat := "/v1/chat/completions"
	good := `{"model":"trestle-llm","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}`
	cases := []struct {
		name, path, body, reason, field string
		header                          map[string]string
		status                          int
	}{
		{"no key", chat, good, "missing_key", "Authorization", nil, 401},
		{"unknown key", chat, good, "unknown_key", "Authorization", map[string]string{"Authorization": "Bearer nobody"}, 401},
		{"unknown class", chat, good, "unknown_class", "Trestle-Class", map[string]string{"Authorization": key, "Trestle-Class": "gold"}, 400},
		{"forbidden class", chat, good, "class_forbidden", "Trestle-Class", map[string]string{"Authorization": key, "Trestle-Class": "split"}, 403},
		{"bad timeout", chat, good, "bad_request", "Trestle-Timeout", map[string]string{"Authorization": key, "Trestle-Timeout": "soon"}, 400},
		{"negative timeout", chat, good, "bad_request", "Trestle-Timeout", map[string]string{"Authorization": key, "Trestle-Timeout": "-1s"}, 400},
		{"bad JSON", chat, `{"model":`, "bad_request", "body", map[string]string{"Authorization": key}, 400},
		{"wrong type", chat, `{"model":7}`, "bad_request", "model", map[string]string{"Authorization": key}, 400},
		{"no messages", chat, `{"model":"trestle-llm"}`, "bad_request", "messages", map[string]string{"Authorization": key}, 400},
		{"unknown model", chat, strings.Replace(good, "trestle-llm", "other", 1), "unknown_model", "model", map[string]string{"Authorization": key}, 404},
		{"negative max_tokens", chat, strings.Replace(good, ":2,", ":-2,", 1), "bad_request", "max_tokens", map[string]string{"Authorization": key}, 400},
		{"unknown role", chat, strings.Replace(good, "user", "wizard", 1), "bad_request", "messages[0].role", map[string]string{"Authorization": key}, 400},
		{"other case", chat, strings.Replace(good, "max_tokens", "Max_Tokens", 1), "bad_request", "Max_Tokens", map[string]string{"Authorization": key}, 400},
		{"no such path", "/v1/chats", good, "bad_request", "path", map[string]string{"Authorization": key}, 404},
		{"wrong method", "/v1/models", good, "bad_request", "method", map[string]string{"Authorization": key}, 405},
		{"dot segment", "/services/member-ledger/x%2F..%2Fclaims", "{}", "bad_request", "path", map[string]string{"Authorization": key}, 400},
		{"body too large", chat, strings.Repeat(" ", 5<<20), "body_too_large", "body", map[string]string{"Authorization": key}, 413},
		{"unknown service", "/services/tab-api/x", "", "unknown_upstream", "upstream", map[string]string{"Authorization": key}, 404},
		{"no idempotency key", "/services/member-ledger/claims", "{}", "idempotency_key_required", "Idempotency-Key", map[string]string{"Authorization": key}, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := send(t, d, "POST", c.path, c.body, c.header)
			var body openai.ErrorBody
			if err := json.Unmarshal(got.body, &body); err != nil {
				t.Fatalf("body %s: %v", got.body, err)
			}
			if got.status != c.status || body.Error.Code != c.reason {
				t.Errorf("status %d code %s, want %d %s", got.status, body.Error.Code, c.status, c.reason)
			}
			if body.Error.Param == nil || *body.Error.Param != c.field {
				t.Errorf("param %v, want %s", body.Error.Param, c.field)
			}
			if got.header.Get("Trestle-Outcome") != "not-run" || got.header.Get("Trestle-Reason") != c.reason {
				t.Errorf("outcome %q reason %q", got.header.Get("Trestle-Outcome"), got.header.Get("Trestle-Reason"))
			}
		})
	}
}
