package handover

import (
	"context"
	"slices"
	"time"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform/readback"
)

// recordTime is how long a finished record that decides nothing is kept for
// copies of its messages that come late, and for its plan.
const recordTime = time.Hour

// removable returns the records that nothing depends on any more: abandoned
// ones, and done ones whose set another move has moved since, each recordTime
// after its end. So there are at most one done record for each set, and the
// records of the last recordTime. The last word on a set is never removable:
// by it the nodes know who serves.
func removable(moves []Move, now time.Time) []Move {
	var list []Move
	for _, m := range moves {
		if m.Phase.Final() && now.Sub(m.Changed) >= recordTime && (m.Phase == PhaseAbandoned || supersededDone(moves, m)) {
			list = append(list, m)
		}
	}
	return list
}

// supersededDone says whether a later move of the same set is done.
func supersededDone(moves []Move, old Move) bool {
	return slices.ContainsFunc(moves, func(m Move) bool {
		return m.Phase == PhaseDone && m.Created > old.Created && m.Epoch > old.Epoch && m.Set.Equal(old.Set)
	})
}

// tidy removes records, except those of plans that are not final yet: such a
// plan would begin its move anew.
func (d *Driver) tidy(ctx context.Context, moves []Move) error {
	list := removable(moves, d.cfg.Now())
	if len(list) == 0 || d.cfg.ActivePlans == nil {
		return nil
	}
	active, err := d.cfg.ActivePlans(ctx)
	if err != nil {
		return err
	}
	for _, m := range list {
		if slices.Contains(active, m.ID) {
			continue
		}
		if err := d.cfg.Store.Remove(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// Remove deletes a record where it has not changed since it was read.
func (s *MoveStore) Remove(ctx context.Context, m Move) error {
	err := s.kv.Delete(ctx, MovePrefix+m.ID, m.Revision)
	if readback.IsConflict(err) {
		return nil
	}
	return errs.Wrap(errs.Platform, err, "remove move", m.ID)
}
