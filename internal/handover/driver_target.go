package handover

import (
	"context"
	"errors"
	"slices"
)

// driveTarget carries out what the target's state asks for.
func (d *Driver) driveTarget(ctx context.Context, m Move) error {
	t := Target{Move: m}
	in := TargetInput{Kind: TargetTick}
	for range maxRounds {
		next, actions, _ := t.Step(in, d.cfg.Now())
		if changed(t.Move, next.Move) {
			written, err := d.cfg.Store.Write(ctx, next.Move)
			if err != nil {
				return err
			}
			d.cfg.Metrics.countPhase(t.Move, written)
			next.Move = written
		}
		t = next
		var more bool
		var err error
		in, more, err = d.actTarget(ctx, t.Move, actions)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

func (d *Driver) actTarget(ctx context.Context, m Move, actions []Action) (TargetInput, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.Timing.Term)
	defer cancel()
	for _, a := range actions {
		in, more, err := d.actTargetOnce(ctx, m, a)
		if err != nil {
			d.cfg.Metrics.retries.WithLabelValues(string(a.Kind)).Inc()
		}
		if err != nil || more {
			return in, more, err
		}
	}
	return TargetInput{}, false, nil
}

func (d *Driver) actTargetOnce(ctx context.Context, m Move, a Action) (TargetInput, bool, error) {
	switch a.Kind {
	case ActionPrepare:
		return d.prepare(ctx, m)
	case ActionRelease:
		return TargetInput{}, false, d.cfg.Preparer.Release(ctx, m.Set)
	case ActionSend:
		receipt, err := d.deliver(ctx, m, a.Message)
		if err != nil {
			return TargetInput{}, false, err
		}
		return heard(m, receipt)
	}
	return TargetInput{}, false, nil
}

// heard turns the source's phase, as its receipt tells it, into the message
// that it may have sent in vain.
func heard(m Move, receipt Receipt) (TargetInput, bool, error) {
	said := Message{Sender: m.Peer, MoveID: m.ID, Version: ProtocolVersion}
	switch {
	case receipt.Phase == PhaseAbandoned && m.Phase == PhaseReady:
		said.Kind = MessageAbandon
	case receipt.Reason == RefusedUnknown && m.Phase == PhaseReady:
		// A source keeps the record of each move that it has offered, until
		// long after the move was abandoned.
		said.Kind = MessageAbandon
		said.Reason = "the source knows the move no more"
	case receipt.Phase == PhaseDone && m.Phase == PhaseOpen:
		said.Kind = MessageDone
	default:
		return TargetInput{}, false, nil
	}
	return TargetInput{Kind: TargetMessage, Message: said}, true, nil
}

func (d *Driver) prepare(ctx context.Context, m Move) (TargetInput, bool, error) {
	ready, err := d.cfg.Preparer.Prepare(ctx, m)
	var unable *UnableError
	if errors.As(err, &unable) {
		return TargetInput{Kind: TargetUnable, Reason: unable.Reason}, true, nil
	}
	return TargetInput{Kind: TargetPrepared}, ready, err
}

func isDead(m Move, node string) bool { return slices.Contains(m.Dead, node) }
