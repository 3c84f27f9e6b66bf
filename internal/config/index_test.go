package config

import (
	"fmt"
	"runtime"
	"testing"
)

func TestIndexLookups(t *testing.T) {
	document, err := Parse([]byte(validYAML))
	if err != nil {
		t.Fatal(err)
	}
	document.Workspaces[0].KeySHA256 = append(document.Workspaces[0].KeySHA256, HashKey("sesame"))
	index := NewIndex(7, document)
	if index.Revision() != 7 {
		t.Errorf("revision %d", index.Revision())
	}
	if w, ok := index.WorkspaceByKey("sesame"); !ok || w.Name != "angyal-pubs" {
		t.Errorf("key: got %v, %v", w, ok)
	}
	if w, ok := index.WorkspaceByKey(HashKey("sesame")); ok {
		t.Errorf("the sum itself opens %s", w.Name)
	}
	if w, ok := index.Workspace("csepel-clubs"); !ok || w.Weight != 2.5 {
		t.Errorf("workspace: got %v, %v", w, ok)
	}
	if c, ok := index.Class("draft"); !ok || c.Tier != 1 {
		t.Errorf("class: got %v, %v", c, ok)
	}
	if u, ok := index.Upstream("tab-api"); !ok || u.Kind != KindService {
		t.Errorf("upstream: got %v, %v", u, ok)
	}
	for model, want := range map[string]bool{"tab-llm": true, "tab-llm-split": true, "tab-api": false} {
		if _, ok := index.UpstreamByModel(model); ok != want {
			t.Errorf("model %s: found %v, want %v", model, ok, want)
		}
	}
}

// largeWorkspaces is the number of workspaces the size aims at.
const largeWorkspaces = 11000

// largeDocument returns a document of n workspaces with two keys each, eight
// classes and eight upstreams of 44 replicas (350 in all).
func largeDocument(n int) *Document {
	document := &Document{}
	for i := range 8 {
		document.Classes = append(document.Classes, Class{
			Name: fmt.Sprintf("class-%d", i), Tier: i, TargetAnswer: 1e9, GiveUpAfter: 1e10,
		})
		upstream := Upstream{Name: fmt.Sprintf("model-%d", i), Kind: KindEngine}
		for r := range 44 {
			upstream.Replicas = append(upstream.Replicas, Replica{
				Name: fmt.Sprintf("model-%d-%d", i, r), Address: fmt.Sprintf("10.0.%d.%d:8000", i, r),
				AvailabilityZone: fmt.Sprintf("zone-%d", r%3),
			})
		}
		document.Upstreams = append(document.Upstreams, upstream)
	}
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		document.Workspaces = append(document.Workspaces, Workspace{
			Name: name, KeySHA256: []string{HashKey(name + "/a"), HashKey(name + "/b")},
			Classes:   []string{"class-0", "class-3"},
			Upstreams: []string{"model-1", "model-2"},
			Quota:     Quota{RequestsPerSecond: 10, TokensPerSecond: 5000},
		})
	}
	document.fillDefaults()
	return document
}

func BenchmarkNewIndex(b *testing.B) {
	document := largeDocument(largeWorkspaces)
	b.ReportAllocs()
	for b.Loop() {
		NewIndex(1, document)
	}
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 1000, largeWorkspaces} {
		data, err := Encode(largeDocument(n))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := Parse(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkHeld reports the bytes a node keeps for one revision.
func BenchmarkHeld(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		index := decodedIndex(b)
		after := heapBytes()
		b.ReportMetric(float64(after-before), "held-B")
		runtime.KeepAlive(index)
	}
}

// decodedIndex returns the index of a document as a node receives it.
func decodedIndex(b *testing.B) *Index {
	data, err := EncodeCanonical(Canonical(largeDocument(largeWorkspaces)))
	if err != nil {
		b.Fatal(err)
	}
	document, err := DecodeCanonical(data)
	if err != nil {
		b.Fatal(err)
	}
	return NewIndex(1, document)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
