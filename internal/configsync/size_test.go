package configsync

import (
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/config"
	"galenatrestle/internal/platform/memstore"
)

// largeDocument returns a canonical document of the size aimed at: 11,000
// workspaces with two keys each, eight classes, eight upstreams of 44 replicas.
func largeDocument(weight float64) *config.Document {
	document := &config.Document{}
	for i := range 8 {
		document.Classes = append(document.Classes, config.Class{
			Name: fmt.Sprintf("class-%d", i), Tier: i, TargetAnswer: 1e9, GiveUpAfter: 1e10,
		})
		upstream := config.Upstream{Name: fmt.Sprintf("model-%d", i), Kind: config.KindEngine, SlotsPerReplica: 8}
		for r := range 44 {
			upstream.Replicas = append(upstream.Replicas, config.Replica{
				Name: fmt.Sprintf("model-%d-%d", i, r), Address: fmt.Sprintf("10.0.%d.%d:8000", i, r),
				AvailabilityZone: fmt.Sprintf("zone-%d", r%3),
			})
		}
		document.Upstreams = append(document.Upstreams, upstream)
	}
	for i := range 11000 {
		name := fmt.Sprintf("workspace-%05d", i)
		document.Workspaces = append(document.Workspaces, config.Workspace{
			Name: name, KeySHA256: []string{config.HashKey(name + "/a"), config.HashKey(name + "/b")},
			Classes: []string{"class-0", "class-3"}, Upstreams: []string{"model-1", "model-2"},
			Weight: 1, Quota: config.Quota{RequestsPerSecond: 10, TokensPerSecond: 5000, Burst: 2},
		})
	}
	document.Workspaces[5000].Weight = weight
	return config.Canonical(document)
}

// BenchmarkPack reports the size of the whole document and of a small patch.
func BenchmarkPack(b *testing.B) {
	from, to := largeDocument(1), largeDocument(2)
	for b.Loop() {
		packed, _, err := packDocument(to)
		if err != nil {
			b.Fatal(err)
		}
		patch, err := packPatch(from, to)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(packed)), "document-B")
		b.ReportMetric(float64(len(patch)), "patch-B")
	}
}

// BenchmarkAccept is one acceptance of a small change of the large document by
// a node alone: stage, commit, put in force, tidy up. It reports the calls to
// the platform.
func BenchmarkAccept(b *testing.B) {
	store := memstore.New(memstore.Config{WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
	count := 0
	newID := func() string { count++; return fmt.Sprintf("id-%d", count) }
	syncer := New(Options{
		Repository: NewRepository(store, newID, time.Now), Current: NewCurrent(), View: oneView{"here"},
		Log: quiet(), Registry: prometheus.NewRegistry(),
	})
	accept := func(weight float64) {
		record, err := syncer.Accept(b.Context(), Request{Document: largeDocument(weight), Author: "erzsi"})
		if err != nil {
			b.Fatal(err)
		}
		syncer.tidy(b.Context(), record)
	}
	accept(1)
	documents := 0
	for b.Loop() {
		documents++
		accept(float64(documents%999 + 2))
	}
}
