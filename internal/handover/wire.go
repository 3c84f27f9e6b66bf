package handover

import (
	handoverv1 "galenatrestle/internal/gen/trestle/handover/v1"
)

// toWire turns a message into its envelope.
func toWire(m Message) *handoverv1.Envelope {
	e := &handoverv1.Envelope{Version: int32(m.Version), MoveId: m.MoveID, Sender: m.Sender}
	switch m.Kind {
	case MessageOffer:
		e.Body = &handoverv1.Envelope_Offer{Offer: &handoverv1.Offer{Set: setToWire(m.Set), Epoch: m.Epoch, RelayAddress: m.RelayAddress, Load: m.Load}}
	case MessageReady:
		e.Body = &handoverv1.Envelope_Ready{Ready: &handoverv1.Ready{RelayAddress: m.RelayAddress}}
	case MessageRefuse:
		e.Body = &handoverv1.Envelope_Refuse{Refuse: &handoverv1.Refuse{Reason: m.Reason}}
	case MessageSealed:
		e.Body = &handoverv1.Envelope_Sealed{Sealed: &handoverv1.Sealed{}}
	case MessageTransfer:
		e.Body = &handoverv1.Envelope_Transfer{Transfer: &handoverv1.Transfer{
			Part: int32(m.Part), Parts: int32(m.Parts), Late: m.Late, Claims: m.Claims, Export: m.Export,
		}}
	case MessageOpen:
		e.Body = &handoverv1.Envelope_Open{Open: &handoverv1.Open{Parts: int32(m.Parts), Export: m.Export}}
	case MessageOpened:
		e.Body = &handoverv1.Envelope_Opened{Opened: &handoverv1.Opened{Epoch: m.Epoch}}
	case MessageDone:
		e.Body = &handoverv1.Envelope_Done{Done: &handoverv1.Done{}}
	case MessageAbandon:
		e.Body = &handoverv1.Envelope_Abandon{Abandon: &handoverv1.Abandon{Reason: m.Reason}}
	}
	return e
}

// fromWire turns an envelope into a message; one without a known body has no
// kind, which every receiver refuses as malformed.
func fromWire(e *handoverv1.Envelope) Message {
	m := Message{Version: int(e.GetVersion()), MoveID: e.GetMoveId(), Sender: e.GetSender()}
	switch body := e.GetBody().(type) {
	case *handoverv1.Envelope_Offer:
		m.Kind, m.Set, m.Epoch, m.RelayAddress = MessageOffer, setFromWire(body.Offer.GetSet()), body.Offer.GetEpoch(), body.Offer.GetRelayAddress()
		m.Load = body.Offer.GetLoad()
	case *handoverv1.Envelope_Ready:
		m.Kind, m.RelayAddress = MessageReady, body.Ready.GetRelayAddress()
	case *handoverv1.Envelope_Refuse:
		m.Kind, m.Reason = MessageRefuse, body.Refuse.GetReason()
	case *handoverv1.Envelope_Sealed:
		m.Kind = MessageSealed
	case *handoverv1.Envelope_Transfer:
		t := body.Transfer
		m.Kind, m.Part, m.Parts, m.Late = MessageTransfer, int(t.GetPart()), int(t.GetParts()), t.GetLate()
		m.Claims, m.Export = t.GetClaims(), t.GetExport()
	case *handoverv1.Envelope_Open:
		m.Kind, m.Parts, m.Export = MessageOpen, int(body.Open.GetParts()), body.Open.GetExport()
	case *handoverv1.Envelope_Opened:
		m.Kind, m.Epoch = MessageOpened, body.Opened.GetEpoch()
	case *handoverv1.Envelope_Done:
		m.Kind = MessageDone
	case *handoverv1.Envelope_Abandon:
		m.Kind, m.Reason = MessageAbandon, body.Abandon.GetReason()
	}
	return m
}

func setToWire(s Set) *handoverv1.Set {
	return &handoverv1.Set{Upstreams: s.Upstreams, Workspaces: s.Workspaces}
}

func setFromWire(s *handoverv1.Set) Set {
	return Set{Upstreams: s.GetUpstreams(), Workspaces: s.GetWorkspaces()}
}
