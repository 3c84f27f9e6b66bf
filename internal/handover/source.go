package handover

import (
	"slices"
	"time"
)

// Source is the giving side of one move: its durable record and what its
// driver has learned since it took the move over.
type Source struct {
	Move   Move
	Timing Timing

	// Listed says that the registered nodes are known.
	Listed bool
	// Nodes are the registered nodes and those that asked for a permit.
	Nodes []nodeAck
	// LastPermit is the latest time at which this driver may have given or
	// started a term, by this driver's clock.
	LastPermit time.Time
	// Quiet says that no node can start work of the set any more.
	Quiet bool
	// Parts is the number of parts to transfer; zero before the export.
	Parts int
	// Sent lists the parts that the target has acknowledged.
	Sent []int
	// Settled says that nothing of the set is in flight here and that the
	// target has all late outcomes.
	Settled bool
}

// NewSource returns the giving side of a move as a driver finds it at now. The
// driver has stamped the record with its own epoch before.
func NewSource(m Move, timing Timing, now time.Time) Source {
	return Source{Move: m, Timing: timing, LastPermit: now}
}

// Permit answers a node that asks for a term of serving permission, and notes
// the node. A driver whose next state is sealed gives none, whether or not
// that state is durable yet.
func (s Source) Permit(node string, epoch int64, now time.Time) (Source, bool) {
	if s.Move.Phase != PhaseArming || epoch != s.Move.DriverEpoch {
		return s, false
	}
	s.Nodes = slices.Clone(s.Nodes)
	s.node(node)
	s.LastPermit = now
	return s, true
}

// Step takes one input and returns the next state and what to do. A change of
// Move must be durable before the actions are carried out.
func (s Source) Step(in SourceInput, now time.Time) (Source, []Action) {
	if s.Move.Phase.Final() {
		return s, nil
	}
	s.Nodes = slices.Clone(s.Nodes)
	s.Sent = slices.Clone(s.Sent)
	s = s.note(in, now)
	s = s.progress(now)
	return s, s.actions()
}

// note takes in what happened.
func (s Source) note(in SourceInput, now time.Time) Source {
	switch in.Kind {
	case SourceTick:
	case SourceAbandon, SourceRefused:
		return s.abandon(in, now)
	case SourceAllowSeal:
		s.Move.SealAllowed = true
	case SourceReady:
		if s.Move.Phase == PhaseOffered {
			s.Move = s.Move.inPhase(PhaseArming, now)
			s.Move.RelayAddress = in.RelayAddress
		}
	case SourceListed:
		s.list(in.Nodes)
	case SourceArmed:
		s.armed(in, now)
	case SourceStopped:
		s.stopped(in)
	case SourceDeclareDead:
		s.Move.Dead = append(slices.Clone(s.Move.Dead), in.Node)
	case SourceExported:
		s.Parts = in.Parts
	case SourcePartTaken:
		s.taken(in.Part)
	case SourceResend:
		s.Sent = nil
	case SourceOpened:
		if s.Move.Phase == PhaseSealed {
			s.Move = s.Move.inPhase(PhaseOpened, now)
		}
	case SourceSettled:
		s.Settled = true
	}
	return s
}

// progress makes the transitions that have become possible.
func (s Source) progress(now time.Time) Source {
	for i := range s.Nodes {
		s.Nodes[i].Dead = slices.Contains(s.Move.Dead, s.Nodes[i].Name)
	}
	if s.Move.Phase == PhaseArming && s.Move.SealAllowed && s.allArmed() {
		s.Move = s.Move.inPhase(PhaseSealed, now)
	}
	if s.Move.Phase == PhaseSealed && !s.Quiet {
		s.Quiet = s.allStopped() || !now.Before(s.LastPermit.Add(s.Timing.quietAfter()))
	}
	if s.Move.Phase == PhaseOpened && s.Settled {
		s.Move = s.Move.inPhase(PhaseDone, now)
	}
	return s
}

func (s Source) abandon(in SourceInput, now time.Time) Source {
	if s.Move.Phase.sealedHere() {
		return s
	}
	s.Move = s.Move.inPhase(PhaseAbandoned, now)
	s.Move.Reason = in.Reason
	return s
}
