package intent

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/readback"
)

// Keys of the plans in the platform's service.
const (
	KeyHead    = "intent/head"
	PlanPrefix = "intent/plan/"
)

// Bases tells the configuration that plans stand on.
type Bases interface {
	// ConfigRevision returns the newest accepted configuration's revision, the
	// operator who changed it and a summary of the change.
	ConfigRevision(ctx context.Context) (revision int64, operator, change string, err error)
}

// Store keeps plans in the platform's service. It holds no state of its own
// and is safe for concurrent use.
type Store struct {
	kv    platform.Store
	bases Bases
	newID func() string
	now   func() time.Time
}

// NewStore returns a Store. newID must return an id that is unique over all
// processes, such as a UUID.
func NewStore(kv platform.Store, bases Bases, newID func() string, now func() time.Time) *Store {
	return &Store{kv: kv, bases: bases, newID: newID, now: now}
}

// Base returns what a plan worked out now stands on. Plans that are final but still in
// the head are taken from it first: an operator who sees that a plan is done may propose
// the next one before the executor has done so, and that one must not be stale for it.
func (s *Store) Base(ctx context.Context) (Base, error) {
	revision, _, _, err := s.bases.ConfigRevision(ctx)
	if err != nil {
		return Base{}, errs.Wrap(errs.Platform, err, "read base", "configuration")
	}
	h, headRevision, err := s.readHead(ctx)
	if err != nil {
		return Base{}, err
	}
	retired, err := s.retireFinal(ctx, h.Active)
	if err != nil {
		return Base{}, err
	}
	if retired {
		_, headRevision, err = s.readHead(ctx)
	}
	return Base{Config: revision, Head: headRevision}, err
}

// retireFinal takes those of the plans that are final from the head, and says whether
// there were any.
func (s *Store) retireFinal(ctx context.Context, active []string) (bool, error) {
	retired := false
	for _, id := range active {
		plan, err := s.Plan(ctx, id)
		if err != nil {
			return retired, err
		}
		if !plan.State.Final() {
			continue
		}
		if err := s.retire(ctx, plan); err != nil {
			return retired, err
		}
		retired = true
	}
	return retired, nil
}

// retire takes a final plan from the head, if it is still there.
func (s *Store) retire(ctx context.Context, plan *Plan) error {
	for {
		h, revision, err := s.readHead(ctx)
		if err != nil {
			return err
		}
		if !h.has(plan.ID) {
			return nil
		}
		err = s.writeHead(ctx, h.without(plan, s.now()), revision)
		if !readback.IsConflict(err) {
			return err
		}
	}
}

// Propose stores a plan that Build returned and gives it its id. Nothing
// happens until it is confirmed.
func (s *Store) Propose(ctx context.Context, plan *Plan, operator string) (*Plan, error) {
	stored := plan.clone()
	stored.ID = s.newID()
	stored.Operator = operator
	stored.Proposed = s.now()
	return s.writePlan(ctx, stored)
}

// Plan returns the plan with its progress, or ErrUnknownPlan.
func (s *Store) Plan(ctx context.Context, id string) (*Plan, error) {
	entry, err := s.kv.Get(ctx, PlanPrefix+id)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, ErrUnknownPlan
	}
	if err != nil {
		return nil, errs.Wrap(errs.Platform, err, "read plan", PlanPrefix+id)
	}
	return decodePlan(entry)
}

// Plans returns all plans, ordered by id.
func (s *Store) Plans(ctx context.Context) ([]*Plan, error) {
	entries, _, err := s.kv.List(ctx, PlanPrefix)
	if err != nil {
		return nil, errs.Wrap(errs.Platform, err, "list plans", PlanPrefix)
	}
	plans := make([]*Plan, 0, len(entries))
	for _, entry := range entries {
		plan, err := decodePlan(entry)
		if err != nil {
			return nil, err
		}
		plans = append(plans, plan)
	}
	return plans, nil
}

// Active returns the ids of the confirmed plans that are not final.
func (s *Store) Active(ctx context.Context) ([]string, error) {
	h, _, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return h.Active, nil
}

func (s *Store) readHead(ctx context.Context) (*head, int64, error) {
	entry, err := s.kv.Get(ctx, KeyHead)
	if errors.Is(err, platform.ErrNotFound) {
		return &head{}, 0, nil
	}
	if err != nil {
		return nil, 0, errs.Wrap(errs.Platform, err, "read head", KeyHead)
	}
	h := &head{}
	if err := json.Unmarshal(entry.Value, h); err != nil {
		return nil, 0, errs.Wrap(errs.Platform, err, "decode head", KeyHead)
	}
	return h, entry.Revision, nil
}

// writeHead writes the head where it is still at the expected revision.
func (s *Store) writeHead(ctx context.Context, h *head, expect int64) error {
	h.WriteID = s.newID()
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	_, err = readback.Write(ctx, s.kv, KeyHead, expect, value, h.WriteID)
	return err
}

// writePlan writes the plan where its key is still at the plan's revision and
// returns it at its new one; it returns a *platform.ConflictError otherwise.
func (s *Store) writePlan(ctx context.Context, plan *Plan) (*Plan, error) {
	written := plan.clone()
	written.WriteID = s.newID()
	value, err := json.Marshal(written)
	if err != nil {
		return nil, err
	}
	entry, err := readback.Write(ctx, s.kv, PlanPrefix+plan.ID, plan.Revision, value, written.WriteID)
	if err != nil {
		return nil, err
	}
	written.Revision = entry.Revision
	return written, nil
}

func decodePlan(entry platform.Entry) (*Plan, error) {
	plan := &Plan{}
	if err := json.Unmarshal(entry.Value, plan); err != nil {
		return nil, errs.Wrap(errs.Platform, err, "decode plan", entry.Key)
	}
	plan.Revision = entry.Revision
	return plan, nil
}
