package handover

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"

	"galenatrestle/internal/platform/memstore"
)

// TestTidyKeepsTheLastWord finishes moves of two sets and looks which records
// a pass leaves.
func TestTidyKeepsTheLastWord(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	old, fresh := now.Add(-recordTime), now.Add(time.Second-recordTime)
	a, b := Set{Upstreams: []string{"a"}}, Set{Upstreams: []string{"b"}}
	store := NewMoveStore(memstore.New(memstore.Config{}), uuid.NewString)
	kept := map[string]bool{"back": true, "other": true, "going": true, "late": true, "planned": true}
	for i, m := range []Move{
		{ID: "there", Set: a, Epoch: 0, Phase: PhaseDone, Changed: old},
		{ID: "planned", Set: a, Epoch: 1, Phase: PhaseDone, Changed: old},
		{ID: "late", Set: a, Epoch: 2, Phase: PhaseDone, Changed: fresh},
		{ID: "back", Set: a, Epoch: 3, Phase: PhaseDone, Changed: old},
		{ID: "dropped", Set: a, Epoch: 4, Phase: PhaseAbandoned, Changed: old},
		{ID: "other", Set: b, Epoch: 0, Phase: PhaseDone, Changed: old},
		{ID: "going", Set: b, Epoch: 1, Phase: PhaseSealed, Changed: old, Role: RoleSource, DriverEpoch: 9},
	} {
		m.Created = int64(i + 1)
		if _, err := store.Write(t.Context(), m); err != nil {
			t.Fatal(err)
		}
	}
	driver := NewDriver(DriverConfig{
		Store: store, Now: func() time.Time { return now },
		ActivePlans: func(context.Context) ([]string, error) { return []string{"planned"}, nil },
	})
	moves, _, err := store.Moves(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := driver.tidy(t.Context(), moves); err != nil {
		t.Fatal(err)
	}
	moves, _, err = store.Moves(t.Context())
	if err != nil || len(moves) != len(kept) {
		t.Errorf("%d records are left, want %d; %v", len(moves), len(kept), err)
	}
	for _, m := range moves {
		if !kept[m.ID] {
			t.Errorf("record %s is left", m.ID)
		}
	}
}

// TestReadyTargetEndsAMoveThatTheSourceForgot takes the source's receipt of a
// ready into the target: only one that has no part yet ends the move.
func TestReadyTargetEndsAMoveThatTheSourceForgot(t *testing.T) {
	ready := Move{ID: "m", Role: RoleTarget, Peer: "west", Phase: PhaseReady}
	for _, c := range []struct {
		move    Move
		receipt Receipt
		want    Phase
	}{
		{ready, Receipt{Reason: RefusedUnknown}, PhaseAbandoned},
		{ready.withPart(1, 0), Receipt{Reason: RefusedUnknown}, PhaseReady},
		{ready, Receipt{Accepted: true, Phase: PhaseArming}, PhaseReady},
		{ready, Receipt{Reason: RefusedVersion}, PhaseReady},
	} {
		in, more, err := heard(c.move, c.receipt)
		if err != nil {
			t.Fatal(err)
		}
		target := Target{Move: c.move}
		if more {
			target, _, _ = target.Step(in, time.UnixMilli(1))
		}
		if target.Move.Phase != c.want {
			t.Errorf("%+v: %s, want %s", c.receipt, target.Move.Phase, c.want)
		}
	}
}
