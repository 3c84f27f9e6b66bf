package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"path"
	"reflect"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

const fuzzDocument = `
workspaces:
- {name: w, key_sha256: [KEY], classes: [c], upstreams: [m, s]}
classes:
- {name: c, target_answer: 10s, give_up_after: 20s}
upstreams:
- {name: m, kind: engine, model: m, replicas: [{name: m-0, address: "127.0.0.1:1", availability_zone: z}]}
- name: s
  kind: service
  replicas: [{name: s-0, address: "127.0.0.1:1", availability_zone: z}]
  unrepeatable: [{method: POST, path: /claims}, {method: POST, path: "/books/*"}]
`

func fuzzCall(t testing.TB) *call {
	t.Helper()
	document, err := config.Parse([]byte(strings.ReplaceAll(fuzzDocument, "KEY", config.HashKey("k"))))
	if err != nil {
		t.Fatal(err)
	}
	index := config.NewIndex(1, document)
	workspace, _ := index.WorkspaceByKey("k")
	class, _ := index.Class("c")
	return &call{index: index, workspace: workspace, class: class, id: "vm-0.x", arrived: time.Now(), idempotencyKey: "key"}
}

// refusedClearly checks what is promised of every refusal of a request's form.
func refusedClearly(t *testing.T, err error) {
	t.Helper()
	var refused *refusal.Error
	if !errors.As(err, &refused) {
		t.Fatalf("%v is no refusal", err)
	}
	if refused.Outcome != refusal.NotRun || refused.Field == "" || refused.Reason.Status()/100 != 4 {
		t.Fatalf("refusal %v: outcome %s, field %q, status %d", refused, refused.Outcome, refused.Field, refused.Reason.Status())
	}
}

// FuzzParseCompletion compares the engine's body with the caller's, read by
// itself: everything but what the gateway sets must be the same.
func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"a b"}]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"<a>"}],"name":"n"}],"seed":12345678901234567890,"x":{"y":[1.50,null]}}`,
		`{"model":"m","messages":[{"role":"user","content":"a"}],"n":2,"stream":true,"stream_options":{"include_usage":true,"z":1}}`,
		`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":5,"Max_Tokens":1000000000}`,
		`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":1000000000,"MAX_TOKENS":1}`,
		`{"MODEL":"m","messages":[{"role":"user","content":"a"}]}`,
		`{"model":"m","prompt":"a","max_tokens":-1}`, `{"model":7}`, `{"model":"other","prompt":"a"}`,
		`null`, `[]`, `{`, ``, `{"model":"m"} x`, "{\"model\":\"m\",\"prompt\":\"\xff\"}",
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	c := fuzzCall(f)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		endpoint := pathText
		if chat {
			endpoint = pathChat
		}
		p, err := parseCompletion(c, endpoint, body)
		if err != nil {
			refusedClearly(t, err)
			return
		}
		sent, err := p.engineBody(3)
		if err != nil {
			t.Fatal(err)
		}
		want, got := decoded(t, body), decoded(t, sent)
		if got["priority"] != json.Number("3") || got["model"] != "m" {
			t.Fatalf("priority %v, model %v", got["priority"], got["model"])
		}
		if most, ok := got["max_tokens"].(json.Number); ok {
			if n, err := most.Int64(); err != nil || n < 1 || n > int64(c.index.Document().Limits.MaxTokens) {
				t.Fatalf("max_tokens %s was let through", most)
			}
		}
		ours := []string{"priority"}
		if !p.opaque {
			ours = append(ours, "stream", "stream_options")
		}
		for _, name := range ours {
			delete(want, name)
			delete(got, name)
		}
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("the caller's fields changed:\n%v\n%v", want, got)
		}
	})
}

func decoded(t *testing.T, body []byte) map[string]any {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	return fields
}

func FuzzHeaders(f *testing.F) {
	for _, seed := range []string{"", "2.5s", "-1s", "soon", "0", "1", "9999999h", "1e9s", "18446744073709551616", "-1", "+3", "7"} {
		f.Add(seed)
	}
	c := fuzzCall(f)
	f.Fuzz(func(t *testing.T, text string) {
		r := &http.Request{Header: http.Header{headerTimeout: {text}, "Last-Event-Id": {text}}}
		useful, err := usefulness(c.class, r)
		if err != nil {
			refusedClearly(t, err)
		} else if useful <= 0 || useful > c.class.GiveUpAfter.Std() {
			t.Fatalf("%q: useful for %s", text, useful)
		}
		after, err := lastEventID(r)
		if err != nil {
			refusedClearly(t, err)
		} else if after < 0 {
			t.Fatalf("%q: after %d", text, after)
		}
	})
}

// FuzzServicePath sends targets through the routes and checks that a service
// that reads its request line as usual, dot segments and a closing slash
// included, is never given a call that a rule holds without that rule.
func FuzzServicePath(f *testing.F) {
	for _, seed := range []string{
		"claims", "claims/", "claims?x=1", "claims%3Fx=1", "claims%2F", "x%2F..%2Fclaims", "%2e/claims", "%2Fclaims", "claims%23a", "books/7", "books/a%2Fb", "books/%2e%2e", "x", "", "%63laims", "claims;a=1", "%2563laims", "cla%0aims", "claims%00", "%",
	} {
		f.Add(seed)
	}
	c := fuzzCall(f)
	target, _ := c.index.Upstream("s")
	f.Fuzz(func(t *testing.T, rest string) {
		parsed, err := url.ParseRequestURI("/services/s/" + rest)
		if err != nil {
			return
		}
		mux := http.NewServeMux()
		mux.HandleFunc("/services/{upstream}/{path...}", func(w http.ResponseWriter, r *http.Request) {
			sc, err := parseService(c, w, r)
			if err != nil {
				refusedClearly(t, err)
				return
			}
			received, err := url.ParseRequestURI(sc.wire.Path)
			if err != nil {
				t.Fatalf("path %q can't be sent: %v", sc.wire.Path, err)
			}
			asRead := path.Clean(received.Path)
			if ruleFor(target, http.MethodPost, asRead) != nil && sc.rule == nil {
				t.Fatalf("%q reaches %q as %q without its rule", rest, asRead, sc.wire.Path)
			}
		})
		request := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader("{}")))
		request.URL = parsed
		mux.ServeHTTP(httptest.NewRecorder(), request)
	})
}
