package handover

import "slices"

// actions returns what is to be done in the present state; all of it is
// repeated until it has had its effect.
func (s Source) actions() []Action {
	switch s.Move.Phase {
	case PhaseOffered:
		return []Action{s.send(Message{Kind: MessageOffer, Set: s.Move.Set, Epoch: s.Move.Epoch, Load: s.Move.Load})}
	case PhaseArming:
		return s.armActions()
	case PhaseSealed:
		return s.sealedActions()
	case PhaseOpened:
		return []Action{{Kind: ActionSettle}}
	case PhaseDone:
		return []Action{s.send(Message{Kind: MessageDone})}
	case PhaseAbandoned:
		return []Action{s.send(Message{Kind: MessageAbandon, Reason: s.Move.Reason})}
	}
	return nil
}

func (s Source) send(m Message) Action {
	m.MoveID = s.Move.ID
	m.Version = ProtocolVersion
	return Action{Kind: ActionSend, Message: m}
}

func (s Source) armActions() []Action {
	if !s.Listed {
		return []Action{{Kind: ActionList}}
	}
	var list []Action
	for _, n := range s.Nodes {
		if !n.Armed && !n.Dead {
			list = append(list, Action{Kind: ActionArm, Node: n.Name})
		}
	}
	return list
}

func (s Source) sealedActions() []Action {
	if !s.Quiet {
		return s.stopActions()
	}
	if s.Parts == 0 {
		return []Action{s.send(Message{Kind: MessageSealed}), {Kind: ActionExport}}
	}
	var list []Action
	for part := range s.Parts {
		if !slices.Contains(s.Sent, part) {
			list = append(list, Action{Kind: ActionSendPart, Part: part})
		}
	}
	if len(list) == 0 {
		return []Action{s.send(Message{Kind: MessageOpen, Parts: s.Parts, Export: s.Move.DriverEpoch})}
	}
	return list
}

func (s Source) stopActions() []Action {
	if !s.Listed {
		return []Action{{Kind: ActionList}}
	}
	var list []Action
	for _, n := range s.Nodes {
		if !n.Stopped && !n.Dead {
			list = append(list, Action{Kind: ActionStop, Node: n.Name})
		}
	}
	return list
}
