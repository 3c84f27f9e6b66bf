package handover

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Begin makes a move of the set to the peer durable as offered. The id makes
// it idempotent: a move that is known already is returned as it is. It returns
// an *OverlapError where another move of the set goes on.
func (s *MoveStore) Begin(ctx context.Context, id string, set Set, peer string, now time.Time) (Move, error) {
	return s.BeginWith(ctx, id, set, nil, peer, now)
}

// BeginWith is Begin with the load that the target must have room for.
func (s *MoveStore) BeginWith(ctx context.Context, id string, set Set, load map[string]int32, peer string, now time.Time) (Move, error) {
	known, err := s.Move(ctx, id)
	if err == nil || !errors.Is(err, ErrUnknownMove) {
		return known, err
	}
	moves, _, err := s.Moves(ctx)
	if err != nil {
		return Move{}, err
	}
	m := Move{ID: id, Role: RoleSource, Set: set, Load: load, Peer: peer, Phase: PhaseOffered, Changed: now, Created: nextCreated(moves)}
	for _, other := range moves {
		if other.Set.Overlaps(set) && !other.Phase.Final() {
			return Move{}, &OverlapError{MoveID: other.ID, Set: other.Set}
		}
		if other.Set.Equal(set) && other.Phase == PhaseDone {
			m.Epoch = max(m.Epoch, other.Epoch+1)
		}
	}
	return s.Write(ctx, m)
}

// OverlapError says that another move of the set goes on.
type OverlapError struct {
	MoveID string
	Set    Set
}

// Error implements error.
func (e *OverlapError) Error() string {
	return fmt.Sprintf("handover: move %s of %s goes on", e.MoveID, e.Set)
}

// PhaseError says that a move's phase forbids what was asked.
type PhaseError struct {
	MoveID string
	Phase  Phase
}

// Error implements error.
func (e *PhaseError) Error() string {
	return fmt.Sprintf("handover: move %s is %s", e.MoveID, e.Phase)
}

// AllowSeal lets a move go past the point up to which it can be abandoned.
func (s *MoveStore) AllowSeal(ctx context.Context, id string) (Move, error) {
	return s.Update(ctx, id, func(m Move) (Move, error) {
		m.SealAllowed = true
		return m, nil
	})
}

// Abandon ends a move that is not sealed; else it returns a *PhaseError.
func (s *MoveStore) Abandon(ctx context.Context, id, reason string, now time.Time) (Move, error) {
	return s.Update(ctx, id, func(m Move) (Move, error) {
		if m.Role != RoleSource || m.Phase.sealedHere() {
			return m, &PhaseError{MoveID: id, Phase: m.Phase}
		}
		m = m.inPhase(PhaseAbandoned, now)
		m.Reason = reason
		return m, nil
	})
}

// DeclareDead takes an operator's word that a node is dead: the move no longer
// waits for it. Said of a node that lives, it breaks the invariant.
func (s *MoveStore) DeclareDead(ctx context.Context, id, node string) (Move, error) {
	return s.Update(ctx, id, func(m Move) (Move, error) {
		if !isDead(m, node) {
			m.Dead = append(slices.Clone(m.Dead), node)
		}
		return m, nil
	})
}
