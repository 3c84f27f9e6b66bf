package handover

// ProtocolVersion is the newest version of the messages that is spoken here.
const ProtocolVersion = 1

// MessageKind names a message between two data centres.
type MessageKind string

// The messages: to the target, then to the source.
const (
	MessageOffer    MessageKind = "offer"
	MessageSealed   MessageKind = "sealed"
	MessageTransfer MessageKind = "transfer"
	MessageOpen     MessageKind = "open"
	MessageDone     MessageKind = "done"
	MessageAbandon  MessageKind = "abandon"
	MessageReady    MessageKind = "ready"
	MessageRefuse   MessageKind = "refuse"
	MessageOpened   MessageKind = "opened"
)

// Message is one message of a move. Which fields count depends on its kind.
type Message struct {
	Version int
	MoveID  string
	// Sender is the sending data centre.
	Sender string
	Kind   MessageKind
	// Set and Epoch are of an offer; an opened carries the epoch alone.
	Set   Set
	Epoch int64
	// Load is of an offer: the source's requests in flight by upstream.
	Load map[string]int32
	// RelayAddress is of an offer and of a ready.
	RelayAddress string
	// Part, Parts, Export, Late and Claims are of a transfer; an open carries
	// Parts and Export alone.
	Part   int
	Parts  int
	Export int64
	Late   bool
	Claims []byte
	// Reason is of a refuse and of an abandon.
	Reason string
}

// Receipt says what the receiver made of a message.
type Receipt struct {
	Accepted bool
	Reason   string
	// Phase is the move's on the receiver's side.
	Phase Phase
}
