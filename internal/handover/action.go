package handover

// ActionKind names what a driver is to do.
type ActionKind string

// The actions of both sides. Each is idempotent and asked for again until its
// effect is an input.
const (
	// ActionSend sends Message to the other data centre.
	ActionSend ActionKind = "send"
	// ActionList reads the registered nodes.
	ActionList ActionKind = "list"
	// ActionArm and ActionStop call Node.
	ActionArm  ActionKind = "arm"
	ActionStop ActionKind = "stop"
	// ActionExport exports claims and outcomes; nothing changes any more, but
	// for the outcomes of requests in flight.
	ActionExport ActionKind = "export"
	// ActionSendPart sends the export's part Part.
	ActionSendPart ActionKind = "send-part"
	// ActionSettle sends late outcomes and looks whether any are to come.
	ActionSettle ActionKind = "settle"
	// ActionPrepare loads models, warms them and checks capacity.
	ActionPrepare ActionKind = "prepare"
	// ActionRelease takes back what ActionPrepare did.
	ActionRelease ActionKind = "release"
)

// Action is one thing to do. Which fields count depends on its kind.
type Action struct {
	Kind    ActionKind
	Node    string
	Part    int
	Message Message
}
