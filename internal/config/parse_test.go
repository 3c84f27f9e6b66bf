package config

import (
	_ "embed"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/yamldoc"
)

//go:embed testdata/valid.yaml
var validYAML string

func TestParseFillsDefaults(t *testing.T) {
	document, err := Parse([]byte(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	handheld := document.Classes[0]
	if got := handheld.TargetFirstToken.Std(); got != 800*time.Millisecond {
		t.Errorf("plain duration 800ms parsed as %s", got)
	}
	if got := handheld.GiveUpAfter.Std(); got != 10*time.Second {
		t.Errorf("quoted duration 10s parsed as %s", got)
	}
	want := Class{
		Name: "draft", Tier: 1, TargetAnswer: Duration(90 * time.Second), GiveUpAfter: Duration(5 * time.Minute),
		MinShare: 0.1, MinShareAfter: Duration(150 * time.Second), QueueBound: 1000, Retention: Duration(time.Minute),
	}
	if got := document.Classes[1]; got != want {
		t.Errorf("class: got %+v, want %+v", got, want)
	}
	if got := document.Upstreams[0]; got.Model != "tab-llm" || got.SlotsPerReplica != DefaultSlotsPerReplica {
		t.Errorf("engine: model %q, slots %d", got.Model, got.SlotsPerReplica)
	}
	if got := document.Upstreams[1].Model; got != "" {
		t.Errorf("a service got the model %q", got)
	}
	if got := document.Workspaces[0]; got.Weight != 1 || got.Quota.Burst != 2 {
		t.Errorf("workspace: weight %v, burst %v", got.Weight, got.Quota.Burst)
	}
	wantLimits := Limits{MaxBodyBytes: 4 << 20, MaxTokens: 4096, RetryBudget: 0.1, MaxAttempts: 3}
	if document.Limits != wantLimits {
		t.Errorf("limits: got %+v, want %+v", document.Limits, wantLimits)
	}
}

func TestEncodeGivesTheSameDocument(t *testing.T) {
	document, err := Parse([]byte(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := Encode(document)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse(encoded)
	if err != nil {
		t.Fatalf("%v in\n%s", err, encoded)
	}
	if !reflect.DeepEqual(document, again) {
		t.Errorf("got %+v, want %+v", again, document)
	}
}

func TestParseNamesLineFieldAndValue(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           yamldoc.Problem
	}{
		{"unknown field", "weight: 2.5", "wieght: 2.5",
			yamldoc.Problem{Line: 15, Field: "workspaces[1].wieght", Value: "wieght", Message: "unknown field"}},
		{"wrong type", "tier: 1", "tier: one",
			yamldoc.Problem{Line: 24, Field: "classes[1].tier", Value: "one", Message: "want a whole number"}},
		{"bad duration", "800ms", "800",
			yamldoc.Problem{Line: 19, Field: "classes[0].target_first_token", Value: "800", Message: "not a duration"}},
		{"tier range", "tier: 1", "tier: -1",
			yamldoc.Problem{Line: 24, Field: "classes[1].tier", Value: "-1", Message: "at least 0"}},
		{"missing field", "    kind: engine\n", "",
			yamldoc.Problem{Line: 29, Field: "upstreams[0].kind", Value: "", Message: "is required"}},
		{"unknown class", "[handheld, draft]", "[handheld, darft]",
			yamldoc.Problem{Line: 6, Field: "workspaces[0].classes[1]", Value: "darft", Message: "no class"}},
		{"unknown upstream", "upstreams: [tab-llm]", "upstreams: [tab-lm]",
			yamldoc.Problem{Line: 14, Field: "workspaces[1].upstreams[0]", Value: "tab-lm", Message: "no upstream"}},
		{"class listed twice", "[handheld, draft]", "[draft, draft]",
			yamldoc.Problem{Line: 6, Field: "workspaces[0].classes[1]", Value: "draft", Message: "twice"}},
		{"key taken", `"1000000000000000000000000000000000000000000000000000000000000000"`,
			"AEFD9B1E9EE0F7B12D13D6B4A6C6BD6F7E6E6C31D0A5E1A0B9E0B6A3C1D2E3F4",
			yamldoc.Problem{Line: 12, Field: "workspaces[1].key_sha256[0]",
				Value:   "AEFD9B1E9EE0F7B12D13D6B4A6C6BD6F7E6E6C31D0A5E1A0B9E0B6A3C1D2E3F4",
				Message: "workspace angyal-pubs has this key"}},
		{"shares", "min_share: 0.1", "min_share: 0.6",
			yamldoc.Problem{Line: 27, Field: "classes[1].min_share", Value: "0.6", Message: "more than 0.5"}},
		{"give up before target", "give_up_after: 5m", "give_up_after: 5s",
			yamldoc.Problem{Line: 26, Field: "classes[1].give_up_after", Value: "5s", Message: "not be less than target_answer"}},
		{"model twice", "adapters: [tab-llm-split]", "adapters: [tab-llm]",
			yamldoc.Problem{Line: 31, Field: "upstreams[0].adapters[0]", Value: "tab-llm", Message: "serves this model already"}},
		{"rules on an engine", "kind: service", "kind: engine",
			yamldoc.Problem{Line: 40, Field: "upstreams[1].unrepeatable", Value: "engine", Message: "kind service"}},
		{"path pattern", `"/tabs/*/close"`, `"/tabs/[/close"`,
			yamldoc.Problem{Line: 42, Field: "upstreams[1].unrepeatable[1].path", Value: "/tabs/[/close", Message: "pattern"}},
		{"address", `"127.0.0.1:9102"`, `"127.0.0.1"`,
			yamldoc.Problem{Line: 35, Field: "upstreams[0].replicas[1].address", Value: "127.0.0.1", Message: "host:port"}},
		{"replica twice", "name: tab-llm-2", "name: tab-llm-1",
			yamldoc.Problem{Line: 33, Field: "upstreams[0].replicas", Value: "", Message: "must differ in name"}},
		{"duplicate field", "weight: 2.5", "classes: [draft]",
			yamldoc.Problem{Line: 15, Field: "workspaces[1].classes", Value: "classes", Message: "duplicate key"}},
		{"name", "name: csepel-clubs", "name: csepel/clubs",
			yamldoc.Problem{Line: 10, Field: "workspaces[1].name", Value: "csepel/clubs", Message: "letters"}},
		{"infinite quota", "requests_per_second: 50", "requests_per_second: .inf",
			yamldoc.Problem{Line: 9, Field: "workspaces[0].quota.requests_per_second", Value: "+Inf", Message: "at most"}},
		{"alias", "classes: [draft]", "classes: &c [draft]",
			yamldoc.Problem{Line: 13, Field: "workspaces[1].classes", Value: "&", Message: "not taken"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(validYAML, c.old) {
				t.Fatalf("the valid document has no %q", c.old)
			}
			_, err := Parse([]byte(strings.Replace(validYAML, c.old, c.new, 1)))
			var invalid *yamldoc.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v", err)
			}
			got := invalid.Problems[0]
			if got.Line != c.want.Line || got.Field != c.want.Field || got.Value != c.want.Value {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			if !strings.Contains(got.Message, c.want.Message) {
				t.Errorf("got message %q, want %q in it", got.Message, c.want.Message)
			}
		})
	}
}

func TestParseListsProblemsUpToTheBound(t *testing.T) {
	bad := strings.Replace(validYAML, "tier: 0", "tier: 99", 1)
	bad = strings.Replace(bad, "kind: service", "kind: plain", 1)
	_, err := Parse([]byte(bad))
	var invalid *yamldoc.InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	if len(invalid.Problems) < 2 {
		t.Errorf("listed %d problems, want the class's and the upstream's: %v", len(invalid.Problems), err)
	}
	many := strings.Replace(validYAML, "[draft]", "["+strings.Repeat("gone, ", 50)+"gone]", 1)
	_, err = Parse([]byte(many))
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	if len(invalid.Problems) != yamldoc.MaxProblems || invalid.More == 0 {
		t.Errorf("listed %d problems and %d more", len(invalid.Problems), invalid.More)
	}
}

func TestParseBoundsItsInput(t *testing.T) {
	for name, data := range map[string]string{
		"empty":      "",
		"two":        "a: 1\n---\nb: 2\n",
		"deep flow":  strings.Repeat("[", 1<<20),
		"deep lists": strings.Repeat("- ", 1<<20),
		"too large":  strings.Repeat("#", yamldoc.MaxBytes+1),
	} {
		var invalid *yamldoc.InvalidError
		if _, err := Parse([]byte(data)); !errors.As(err, &invalid) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// FuzzParse proves that no input crashes the parser and that what it accepts
// survives encoding.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validYAML))
	f.Add([]byte("workspaces: [{name: x}]\nclasses: 3\n"))
	f.Add([]byte("? [a, b]\n: {c: !!binary ==}\n"))
	f.Add([]byte("classes:\n  - target_answer: .nan\n    tier: 0x7fffffffffffffff\n"))
	f.Add([]byte("a: &x [*x, *x]\n<<: *x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := Parse(data)
		if err != nil {
			var invalid *yamldoc.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("error of type %T: %v", err, err)
			}
			return
		}
		encoded, err := Encode(document)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(encoded)
		if err != nil {
			t.Fatalf("encoded document is refused: %v\n%s", err, encoded)
		}
		if !reflect.DeepEqual(document, again) {
			t.Fatalf("got %+v, want %+v", again, document)
		}
	})
}
