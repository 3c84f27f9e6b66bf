package handover

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/platform/readback"
)

// Receiver takes messages of other data centres. Any node may run it: what it
// changes is durable by compare-and-swap before the receipt is given.
type Receiver struct {
	store   *MoveStore
	claims  ClaimMover
	metrics *Metrics
	log     logrus.FieldLogger
	now     func() time.Time
}

// NewReceiver returns a Receiver.
func NewReceiver(store *MoveStore, claims ClaimMover, metrics *Metrics, log logrus.FieldLogger, now func() time.Time) *Receiver {
	return &Receiver{store: store, claims: claims, metrics: metrics, log: log, now: now}
}

// Deliver handles one message. An error says that nothing is known: the sender
// sends it again.
func (r *Receiver) Deliver(ctx context.Context, m Message) (Receipt, error) {
	receipt, err := r.deliver(ctx, m)
	for readback.IsConflict(err) && ctx.Err() == nil {
		receipt, err = r.deliver(ctx, m)
	}
	if err == nil && !receipt.Accepted {
		r.metrics.refused.WithLabelValues(string(m.Kind), receipt.Reason).Inc()
		r.log.WithFields(logrus.Fields{"peer": m.Sender, "move": m.MoveID, "message": m.Kind, "reason": receipt.Reason}).Warn("message refused")
	}
	return receipt, err
}

func (r *Receiver) deliver(ctx context.Context, m Message) (Receipt, error) {
	if m.Version != ProtocolVersion {
		return Receipt{Reason: RefusedVersion}, nil
	}
	if m.MoveID == "" || m.Sender == "" {
		return Receipt{Reason: RefusedMalformed}, nil
	}
	move, err := r.store.Move(ctx, m.MoveID)
	if errors.Is(err, ErrUnknownMove) {
		return r.open(ctx, m)
	}
	if err != nil {
		return Receipt{}, err
	}
	if move.Role == RoleSource {
		return r.toSource(ctx, move, m)
	}
	return r.toTarget(ctx, move, m)
}

// open takes an offer of a move that is not known here.
func (r *Receiver) open(ctx context.Context, m Message) (Receipt, error) {
	if m.Kind != MessageOffer {
		return Receipt{Reason: RefusedUnknown}, nil
	}
	if !m.Set.Valid() {
		return Receipt{Reason: RefusedMalformed}, nil
	}
	moves, _, err := r.store.Moves(ctx)
	if err != nil {
		return Receipt{}, err
	}
	if reason := refuseOffer(moves, m); reason != "" {
		return Receipt{Reason: reason}, nil
	}
	target := NewTarget(m, r.now())
	target.Move.Created = nextCreated(moves)
	written, err := r.store.Write(ctx, target.Move)
	return Receipt{Accepted: err == nil, Phase: written.Phase}, err
}

// refuseOffer says why an offer can't be taken beside the moves known here.
func refuseOffer(moves []Move, m Message) string {
	for _, known := range moves {
		// The move itself: a copy of the offer came first.
		if known.ID == m.MoveID || !known.Set.Overlaps(m.Set) {
			continue
		}
		if !known.Phase.Final() {
			return RefusedOverlap
		}
		// A set that this side has opened at a higher epoch is not the peer's
		// to offer at a lower one.
		if known.Phase == PhaseDone && known.Set.Equal(m.Set) && m.Epoch <= known.Epoch {
			return RefusedEpoch
		}
	}
	return ""
}

// nextCreated orders a new record after all known ones.
func nextCreated(moves []Move) int64 {
	newest := int64(0)
	for _, m := range moves {
		newest = max(newest, m.Created)
	}
	return newest + 1
}

func (r *Receiver) toTarget(ctx context.Context, move Move, m Message) (Receipt, error) {
	t := Target{Move: move}
	in := TargetInput{Kind: TargetMessage, Message: m}
	if t.Imports(m) {
		if err := r.claims.Import(ctx, move.Set, move.Epoch, m.Claims); err != nil {
			return Receipt{}, err
		}
		in.Kind = TargetImported
	}
	next, _, receipt := t.Step(in, r.now())
	return r.record(ctx, move, next.Move, receipt)
}

// toSource notes a message of the target in the record; the driver goes on
// from there.
func (r *Receiver) toSource(ctx context.Context, move Move, m Message) (Receipt, error) {
	s := NewSource(move, Timing{}, r.now())
	in, receipt := s.Take(m)
	if !receipt.Accepted {
		return receipt, nil
	}
	next := s
	if !move.Phase.Final() {
		next = s.note(in, r.now())
	}
	receipt.Phase = next.Move.Phase
	return r.record(ctx, move, next.Move, receipt)
}

// record makes the move's next state durable before the receipt is given.
func (r *Receiver) record(ctx context.Context, move, next Move, receipt Receipt) (Receipt, error) {
	if !changed(move, next) {
		return receipt, nil
	}
	if _, err := r.store.Write(ctx, next); err != nil {
		return Receipt{}, err
	}
	r.metrics.countPhase(move, next)
	return receipt, nil
}

// changed says whether two states of one record differ in what is stored.
func changed(a, b Move) bool {
	return a.Phase != b.Phase || a.DriverEpoch != b.DriverEpoch || a.SealAllowed != b.SealAllowed ||
		a.Export != b.Export || len(a.Parts) != len(b.Parts) || len(a.Dead) != len(b.Dead)
}
