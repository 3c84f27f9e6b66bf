package handover

// Take turns a message of the target into an input of Step. A message that is
// not accepted gives SourceTick.
func (s Source) Take(m Message) (SourceInput, Receipt) {
	in, reason := s.take(m)
	if reason != "" {
		in = SourceInput{Kind: SourceTick}
	}
	return in, Receipt{Accepted: reason == "", Reason: reason, Phase: s.Move.Phase}
}

func (s Source) take(m Message) (SourceInput, string) {
	if m.Sender != s.Move.Peer {
		return SourceInput{}, RefusedSender
	}
	switch m.Kind {
	case MessageReady:
		// A late copy of it is harmless in any phase.
		return SourceInput{Kind: SourceReady, RelayAddress: m.RelayAddress}, ""
	case MessageRefuse:
		return s.takeRefuse(m)
	case MessageOpened:
		return s.takeOpened(m)
	}
	return SourceInput{}, RefusedMalformed
}

func (s Source) takeRefuse(m Message) (SourceInput, string) {
	if s.Move.Phase.sealedHere() {
		return SourceInput{}, RefusedPhase
	}
	return SourceInput{Kind: SourceRefused, Reason: m.Reason}, ""
}

func (s Source) takeOpened(m Message) (SourceInput, string) {
	if !s.Move.Phase.sealedHere() {
		return SourceInput{}, RefusedPhase
	}
	if m.Epoch != s.Move.Epoch+1 {
		return SourceInput{}, RefusedEpoch
	}
	return SourceInput{Kind: SourceOpened}, ""
}
