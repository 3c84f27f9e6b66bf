package config

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawDocument draws a document out of few names, so that two draws share some.
func drawDocument(t *rapid.T, label string) *Document {
	document := largeDocument(0)
	document.Upstreams = document.Upstreams[:rapid.IntRange(1, 3).Draw(t, label+" upstreams")]
	names := rapid.SliceOfNDistinct(rapid.IntRange(0, 12), 1, 10, rapid.ID).Draw(t, label+" workspaces")
	for _, n := range names {
		name := fmt.Sprintf("w-%02d", n)
		document.Workspaces = append(document.Workspaces, Workspace{
			Name: name, KeySHA256: []string{HashKey(name)}, Classes: []string{"class-0"}, Upstreams: []string{"model-0"},
			Weight: float64(rapid.IntRange(1, 2).Draw(t, label+" weight")),
		})
	}
	document.Limits.MaxTokens = rapid.IntRange(1, 2).Draw(t, label+" limit")
	return Canonical(document)
}

func TestPatchLeadsToTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, "from"), drawDocument(t, "to")
		before, err := SumOf(from)
		if err != nil {
			t.Fatal(err)
		}
		patch := MakePatch(from, to)
		got, err := SumOf(patch.Apply(from))
		if err != nil {
			t.Fatal(err)
		}
		want, err := SumOf(to)
		if err != nil {
			t.Fatal(err)
		}
		if got != want {
			t.Fatalf("patch %+v does not lead to the target", patch)
		}
		if after, _ := SumOf(from); after != before {
			t.Fatal("applying changed the original")
		}
		if before == want && !reflect.DeepEqual(patch, Patch{}) {
			t.Fatalf("patch between equal documents: %+v", patch)
		}
	})
}

func TestCanonicalSurvivesJSON(t *testing.T) {
	document, err := Parse([]byte(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	canonical := Canonical(document)
	data, err := EncodeCanonical(canonical)
	if err != nil {
		t.Fatal(err)
	}
	again, err := DecodeCanonical(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(canonical, again) {
		t.Errorf("got %+v, want %+v", again, canonical)
	}
}

func TestDiffNamesEntriesAndFields(t *testing.T) {
	from, err := Parse([]byte(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	edited := strings.NewReplacer(
		"tier: 1", "tier: 2",
		", leaving: true", "",
		"name: csepel-clubs", "name: csepel-bars",
		"max_tokens: 4096", "max_tokens: 2048",
	).Replace(validYAML)
	to, err := Parse([]byte(edited))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"changed class draft: tier: 1 -> 2",
		`changed upstream tab-llm: replicas: {"name":"tab-llm-2","address":"127.0.0.1:9102","availability_zone":"bp-csepel","leaving":true} -> {"name":"tab-llm-2","address":"127.0.0.1:9102","availability_zone":"bp-csepel"}`,
		"removed workspace csepel-clubs",
		"added workspace csepel-bars",
		"changed limits: max_tokens: 4096 -> 2048",
	}
	var got []string
	for _, change := range Diff(Canonical(from), Canonical(to)) {
		got = append(got, change.String())
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// BenchmarkApply is what a node does for one changed workspace of 11,000:
// patch, sum, lookups.
func BenchmarkApply(b *testing.B) {
	from := Canonical(largeDocument(largeWorkspaces))
	changed := from.Workspaces[5000]
	changed.Weight = 3
	patch := Patch{Workspaces: ListPatch[Workspace]{Put: []Workspace{changed}}}
	b.ReportAllocs()
	for b.Loop() {
		to := patch.Apply(from)
		if _, err := SumOf(to); err != nil {
			b.Fatal(err)
		}
		NewIndex(2, to)
	}
}

// BenchmarkDecodeCanonical is what a node does for a whole document.
func BenchmarkDecodeCanonical(b *testing.B) {
	data, err := EncodeCanonical(Canonical(largeDocument(largeWorkspaces)))
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		document, err := DecodeCanonical(data)
		if err != nil {
			b.Fatal(err)
		}
		NewIndex(1, document)
	}
}
