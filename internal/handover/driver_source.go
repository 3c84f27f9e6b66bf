package handover

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// maxCalls bounds the calls of one action round that run at a time.
const maxCalls = 16

// carryOut carries the actions out, several at a time, and returns the inputs
// that came of each.
func (d *Driver) carryOut(ctx context.Context, run *sourceRun, actions []Action) [][]SourceInput {
	results := make([][]SourceInput, len(actions))
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for i, action := range actions {
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, d.cfg.Timing.Term)
			defer cancel()
			inputs, err := d.act(callCtx, run, action)
			if err != nil {
				d.cfg.Metrics.retries.WithLabelValues(string(action.Kind)).Inc()
				d.cfg.Log.WithError(err).WithField("action", action.Kind).Debug("action is tried again")
			}
			results[i] = inputs
			return nil
		})
	}
	// The functions return no error: each action's own is counted and retried.
	_ = group.Wait()
	return results
}

func (d *Driver) act(ctx context.Context, run *sourceRun, a Action) ([]SourceInput, error) {
	move := d.moveOf(run)
	switch a.Kind {
	case ActionSend:
		return d.sendFromSource(ctx, move, a.Message)
	case ActionList:
		names, err := d.cfg.Store.Nodes(ctx)
		return oneInput(SourceInput{Kind: SourceListed, Nodes: names}, err)
	case ActionArm:
		err := d.cfg.Nodes.Arm(ctx, a.Node, move)
		return oneInput(SourceInput{Kind: SourceArmed, Node: a.Node, Epoch: move.DriverEpoch}, err)
	case ActionStop:
		_, err := d.cfg.Nodes.Stop(ctx, a.Node, move)
		return oneInput(SourceInput{Kind: SourceStopped, Node: a.Node}, err)
	case ActionExport:
		return d.export(ctx, run, move)
	case ActionSendPart:
		return d.sendPart(ctx, run, move, a.Part)
	case ActionSettle:
		return d.settle(ctx, run, move)
	}
	return nil, nil
}

func (d *Driver) moveOf(run *sourceRun) Move {
	d.mu.Lock()
	defer d.mu.Unlock()
	return run.s.Move
}

func oneInput(in SourceInput, err error) ([]SourceInput, error) {
	if err != nil {
		return nil, err
	}
	return []SourceInput{in}, nil
}

// deliver sends a message to the move's other side.
func (d *Driver) deliver(ctx context.Context, move Move, m Message) (Receipt, error) {
	m.Version = ProtocolVersion
	m.MoveID = move.ID
	m.Sender = d.cfg.DataCentre
	m.RelayAddress = d.cfg.RelayAddress
	return d.cfg.Peer.Deliver(ctx, move.Peer, m)
}

// sendFromSource delivers a message and takes in what the receipt tells.
func (d *Driver) sendFromSource(ctx context.Context, move Move, m Message) ([]SourceInput, error) {
	receipt, err := d.deliver(ctx, move, m)
	if err != nil {
		return nil, err
	}
	switch {
	case m.Kind == MessageOffer && (!receipt.Accepted || receipt.Phase == PhaseAbandoned):
		return []SourceInput{{Kind: SourceRefused, Reason: "refused by " + move.Peer + ": " + receipt.Reason}}, nil
	case m.Kind == MessageOpen && receipt.Accepted && (receipt.Phase == PhaseOpen || receipt.Phase == PhaseDone):
		return []SourceInput{{Kind: SourceOpened}}, nil
	case m.Kind == MessageOpen && receipt.Reason == RefusedParts:
		return []SourceInput{{Kind: SourceResend}}, nil
	}
	return nil, nil
}

func (d *Driver) export(ctx context.Context, run *sourceRun, move Move) ([]SourceInput, error) {
	parts, err := d.cfg.Claims.Export(ctx, move.Set, move.Epoch)
	if err != nil {
		return nil, err
	}
	if len(parts) == 0 {
		parts = [][]byte{nil}
	}
	d.mu.Lock()
	run.parts = parts
	d.mu.Unlock()
	return []SourceInput{{Kind: SourceExported, Parts: len(parts)}}, nil
}

func (d *Driver) sendPart(ctx context.Context, run *sourceRun, move Move, part int) ([]SourceInput, error) {
	d.mu.Lock()
	parts := run.parts
	d.mu.Unlock()
	m := Message{Kind: MessageTransfer, Part: part, Parts: len(parts), Export: move.DriverEpoch, Claims: parts[part]}
	receipt, err := d.deliver(ctx, move, m)
	if err != nil || !receipt.Accepted {
		return nil, err
	}
	return []SourceInput{{Kind: SourcePartTaken, Part: part}}, nil
}

// settle sends the outcomes that came after the export. When nothing was in
// flight before it, nothing is left to come.
func (d *Driver) settle(ctx context.Context, run *sourceRun, move Move) ([]SourceInput, error) {
	inFlight, err := d.inFlight(ctx, move)
	if err != nil {
		return nil, err
	}
	parts, err := d.cfg.Claims.Export(ctx, move.Set, move.Epoch)
	if err != nil {
		return nil, err
	}
	for _, part := range parts {
		receipt, err := d.deliver(ctx, move, Message{Kind: MessageTransfer, Late: true, Claims: part})
		if err != nil || !receipt.Accepted {
			return nil, err
		}
	}
	if inFlight > 0 {
		return nil, nil
	}
	return []SourceInput{{Kind: SourceSettled}}, nil
}

func (d *Driver) inFlight(ctx context.Context, move Move) (int64, error) {
	names, err := d.cfg.Store.Nodes(ctx)
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for _, name := range names {
		if isDead(move, name) {
			continue
		}
		n, err := d.cfg.Nodes.Stop(ctx, name, move)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}
