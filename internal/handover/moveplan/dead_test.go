package moveplan

import (
	"testing"
	"time"

	"github.com/google/uuid"

	"galenatrestle/internal/handover"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/platform/memstore"
)

func TestDeadVMBlocksNoMove(t *testing.T) {
	store := handover.NewMoveStore(memstore.New(memstore.Config{}), uuid.NewString)
	for _, node := range []string{"vm-1", "vm-2"} {
		if err := store.Register(t.Context(), node); err != nil {
			t.Fatal(err)
		}
	}
	set := handover.Set{Upstreams: []string{"u"}}
	if _, err := store.Begin(t.Context(), "m", set, "east", time.Now()); err != nil {
		t.Fatal(err)
	}
	// Twice, as after a crash.
	for range 2 {
		progress, err := NewDeadActor(store).Do(t.Context(), intent.Task{Step: intent.Step{Target: "vm-2"}})
		if err != nil || !progress.Done {
			t.Fatalf("%+v, %v", progress, err)
		}
	}
	nodes, err := store.Nodes(t.Context())
	if err != nil || len(nodes) != 1 || nodes[0] != "vm-1" {
		t.Errorf("registered: %v, %v", nodes, err)
	}
	m, err := store.Move(t.Context(), "m")
	if err != nil || len(m.Dead) != 1 || m.Dead[0] != "vm-2" {
		t.Errorf("dead: %v, %v", m.Dead, err)
	}
}
