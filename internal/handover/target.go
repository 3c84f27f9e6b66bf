package handover

import (
	"time"
)

// Target is the taking side of one move. What it trusts is its durable record
// alone.
type Target struct {
	Move Move
}

// TargetInputKind names what happened at or to the target.
type TargetInputKind string

// The inputs of Target.Step.
const (
	TargetTick TargetInputKind = "tick"
	// TargetMessage is a message of the source.
	TargetMessage TargetInputKind = "message"
	// TargetPrepared and TargetUnable end the preparation.
	TargetPrepared TargetInputKind = "prepared"
	TargetUnable   TargetInputKind = "unable"
	// TargetImported says that a transfer's claims are durable here.
	TargetImported TargetInputKind = "imported"
)

// TargetInput is one input. Which fields count depends on its kind.
type TargetInput struct {
	Kind TargetInputKind
	// Message is set for TargetMessage and TargetImported.
	Message Message
	Reason  string
}

// NewTarget returns the taking side that an offer opens.
func NewTarget(offer Message, now time.Time) Target {
	return Target{Move: Move{
		ID: offer.MoveID, Role: RoleTarget, Set: offer.Set, Peer: offer.Sender, Load: offer.Load,
		Epoch: offer.Epoch, Phase: PhasePreparing, RelayAddress: offer.RelayAddress, Changed: now,
	}}
}

// Step takes one input and returns the next state, what to do and, for a
// message, the receipt. A change of Move must be durable before the actions
// are carried out and the receipt is given.
func (t Target) Step(in TargetInput, now time.Time) (Target, []Action, Receipt) {
	receipt := Receipt{Accepted: true}
	switch in.Kind {
	case TargetTick:
	case TargetPrepared:
		if t.Move.Phase == PhasePreparing {
			t.Move = t.Move.inPhase(PhaseReady, now)
		}
	case TargetUnable:
		if t.Move.Phase == PhasePreparing {
			t.Move = t.Move.inPhase(PhaseAbandoned, now)
			t.Move.Reason = in.Reason
		}
	case TargetImported:
		t, receipt = t.imported(in.Message)
	case TargetMessage:
		t, receipt = t.take(in.Message, now)
	}
	receipt.Phase = t.Move.Phase
	if t.Move.Phase == PhaseAbandoned && receipt.Reason == "" {
		// A copy of the offer may overtake the refusal: both tell why.
		receipt.Reason = t.Move.Reason
	}
	return t, t.actions(), receipt
}

// take handles a message but for the import of a transfer's claims, which the
// driver does where CanImport says so.
func (t Target) take(m Message, now time.Time) (Target, Receipt) {
	if m.Sender != t.Move.Peer {
		return t, Receipt{Reason: RefusedSender}
	}
	switch m.Kind {
	case MessageOffer:
		return t, t.takeOffer(m)
	case MessageSealed:
		return t, t.accept(t.Move.Phase != PhasePreparing && t.Move.Phase != PhaseAbandoned, RefusedPhase)
	case MessageTransfer:
		return t, t.takeTransfer(m)
	case MessageOpen:
		return t.takeOpen(m, now)
	case MessageDone:
		return t.takeDone(now)
	case MessageAbandon:
		return t.takeAbandon(m, now)
	}
	return t, Receipt{Reason: RefusedMalformed}
}

func (t Target) accept(ok bool, reason string) Receipt {
	if ok {
		return Receipt{Accepted: true}
	}
	return Receipt{Reason: reason}
}

func (t Target) takeOffer(m Message) Receipt {
	return t.accept(m.Set.Equal(t.Move.Set) && m.Epoch == t.Move.Epoch, RefusedDiffers)
}

// CanImport says whether the claims of a transfer may be imported: an early
// part until the set is open, a late one from then on.
func (t Target) CanImport(m Message) Receipt {
	if m.Sender != t.Move.Peer {
		return Receipt{Reason: RefusedSender}
	}
	if m.Part < 0 || m.Part >= MaxParts || (!m.Late && m.Part >= m.Parts) {
		return Receipt{Reason: RefusedMalformed}
	}
	if m.Late {
		return t.accept(t.Move.Phase == PhaseOpen, RefusedPhase)
	}
	if m.Export < t.Move.Export {
		return Receipt{Reason: RefusedExport}
	}
	return t.accept(t.Move.Phase == PhaseReady, RefusedPhase)
}

// Imports says whether the driver has to import the message's claims before
// Step sees it as TargetImported.
func (t Target) Imports(m Message) bool {
	if m.Kind != MessageTransfer || !t.CanImport(m).Accepted {
		return false
	}
	return m.Late || !t.Move.hasPart(m.Export, m.Part)
}

// takeTransfer answers a transfer whose claims were not imported just now.
func (t Target) takeTransfer(m Message) Receipt {
	if !m.Late && t.Move.hasPart(m.Export, m.Part) {
		return Receipt{Accepted: true}
	}
	if can := t.CanImport(m); !can.Accepted {
		return can
	}
	return Receipt{Reason: RefusedBusy}
}

func (t Target) imported(m Message) (Target, Receipt) {
	if can := t.CanImport(m); !can.Accepted {
		return t, can
	}
	if !m.Late && !t.Move.hasPart(m.Export, m.Part) {
		t.Move = t.Move.withPart(m.Export, m.Part)
	}
	return t, Receipt{Accepted: true}
}

// takeOpen opens the set where all parts are durable here.
func (t Target) takeOpen(m Message, now time.Time) (Target, Receipt) {
	switch t.Move.Phase {
	case PhaseOpen, PhaseDone:
		return t, Receipt{Accepted: true}
	case PhaseReady:
	default:
		return t, Receipt{Reason: RefusedPhase}
	}
	if m.Parts < 1 || m.Parts > MaxParts {
		return t, Receipt{Reason: RefusedMalformed}
	}
	for part := range m.Parts {
		if !t.Move.hasPart(m.Export, part) {
			return t, Receipt{Reason: RefusedParts}
		}
	}
	t.Move = t.Move.inPhase(PhaseOpen, now)
	return t, Receipt{Accepted: true}
}

func (t Target) takeDone(now time.Time) (Target, Receipt) {
	switch t.Move.Phase {
	case PhaseDone:
	case PhaseOpen:
		t.Move = t.Move.inPhase(PhaseDone, now)
	default:
		return t, Receipt{Reason: RefusedPhase}
	}
	return t, Receipt{Accepted: true}
}

// takeAbandon ends a move that the source has not sealed: an honest one
// abandons only before its seal, and transfers only after it.
func (t Target) takeAbandon(m Message, now time.Time) (Target, Receipt) {
	switch t.Move.Phase {
	case PhaseAbandoned:
	case PhasePreparing, PhaseReady:
		if len(t.Move.Parts) > 0 {
			return t, Receipt{Reason: RefusedPhase}
		}
		t.Move = t.Move.inPhase(PhaseAbandoned, now)
		t.Move.Reason = m.Reason
	default:
		return t, Receipt{Reason: RefusedPhase}
	}
	return t, Receipt{Accepted: true}
}

func (t Target) actions() []Action {
	switch t.Move.Phase {
	case PhasePreparing:
		return []Action{{Kind: ActionPrepare}}
	case PhaseReady:
		return []Action{t.send(Message{Kind: MessageReady})}
	case PhaseOpen:
		return []Action{t.send(Message{Kind: MessageOpened, Epoch: t.Move.Epoch + 1})}
	case PhaseAbandoned:
		return []Action{{Kind: ActionRelease}, t.send(Message{Kind: MessageRefuse, Reason: t.Move.Reason})}
	}
	return nil
}

func (t Target) send(m Message) Action {
	m.MoveID = t.Move.ID
	m.Version = ProtocolVersion
	return Action{Kind: ActionSend, Message: m}
}
