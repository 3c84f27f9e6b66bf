package capacity

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/configsync"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/memstore"
)

// Configuration measures one revision by the number of workspaces: the bytes in
// the platform, in a node's memory, and the processor time of a small change.
func Configuration(fleet Fleet, workspaces []int) ([]Slope, error) {
	base := Slope{Role: RoleConfiguration, Against: "workspaces", Target: float64(fleet.Workspaces)}
	packed, largest, patch, held, cpu := base, base, base, base, base
	packed.Quantity, packed.Unit = "packed document in the platform", "B"
	largest.Quantity, largest.Unit = "largest value in the platform", "B"
	patch.Quantity, patch.Unit = "head that carries a small change", "B"
	held.Quantity, held.Unit = "heap of one revision", "B"
	cpu.Quantity, cpu.Unit = "processor time of a small change at a node", "s"
	for _, n := range workspaces {
		first := document(fleet, n, fleet.Replicas)
		second := changed(first, 2)
		stored, err := store(first, second)
		if err != nil {
			return nil, err
		}
		packed.add(n, stored.document)
		largest.add(n, stored.largest)
		patch.add(n, stored.head)
		held.add(n, heapOf(func() *config.Index { return decoded(first) }))
		cpu.add(n, changeTime(first, second).Seconds())
	}
	return fitAll(packed, largest, patch, held, cpu)
}

// stored is what an acceptance leaves in the platform.
type stored struct{ document, largest, head float64 }

// store accepts the two documents, one after the other.
func store(first, second *config.Document) (stored, error) {
	ctx := context.Background()
	platformStore := memstore.New(memstore.Config{WritesPerSecond: 1e6, ReadsPerSecond: 1e6})
	repository := newRepository(platformStore)
	base, err := repository.Stage(ctx, configsync.Record{}, nil, first, 1, "capacity")
	if err != nil {
		return stored{}, err
	}
	if base, err = repository.Commit(ctx, base); err != nil {
		return stored{}, err
	}
	next, err := repository.Stage(ctx, base, first, second, 2, "capacity")
	if err != nil {
		return stored{}, err
	}
	if next, err = repository.Commit(ctx, next); err != nil {
		return stored{}, err
	}
	return sizes(ctx, platformStore, next)
}

// newRepository returns a repository with ids of its own.
func newRepository(s platform.Store) *configsync.Repository {
	var ids atomic.Int64
	newID := func() string { return fmt.Sprintf("id-%08d", ids.Add(1)) }
	return configsync.NewRepository(s, newID, time.Now)
}

// errNothingStored says that the platform holds no document of the record.
var errNothingStored = errors.New("capacity: the platform holds no document of the record")

func sizes(ctx context.Context, s platform.Store, record configsync.Record) (stored, error) {
	entries, _, err := s.List(ctx, "config/")
	if err != nil {
		return stored{}, err
	}
	var sum stored
	for _, e := range entries {
		bytes := float64(len(e.Value))
		sum.largest = max(sum.largest, bytes)
		if e.Key == "config/head" {
			sum.head = bytes
		}
		if strings.HasPrefix(e.Key, "config/body/"+record.ID+"/") {
			sum.document += bytes
		}
	}
	if sum.document == 0 || sum.head == 0 {
		return stored{}, errNothingStored
	}
	return sum, nil
}

// decoded returns the document's lookups as a node has them that received it.
func decoded(d *config.Document) *config.Index {
	raw, err := config.EncodeCanonical(d)
	if err != nil {
		panic(err)
	}
	own, err := config.DecodeCanonical(raw)
	if err != nil {
		panic(err)
	}
	return config.NewIndex(1, own)
}

// applications is how often a change is applied for one figure.
const applications = 5

// changeTime is what a node does for a small change: apply the patch, check the
// sum, build the lookups.
func changeTime(first, second *config.Document) time.Duration {
	patch := config.MakePatch(first, second)
	used := cpuOf(func() {
		for range applications {
			next := patch.Apply(first)
			if _, err := config.SumOf(next); err != nil {
				panic(err)
			}
			config.NewIndex(2, next)
		}
	})
	return used / applications
}
