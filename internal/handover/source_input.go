package handover

// SourceInputKind names what happened at or to the source.
type SourceInputKind string

// The inputs of Source.Step.
const (
	// SourceTick is the passing of time.
	SourceTick SourceInputKind = "tick"
	// SourceAbandon is the operator's wish; without effect after the seal.
	SourceAbandon SourceInputKind = "abandon"
	// SourceAllowSeal is the plan's leave to seal.
	SourceAllowSeal SourceInputKind = "allow-seal"
	// SourceDeclareDead is an operator's statement that a node is dead.
	SourceDeclareDead SourceInputKind = "declare-dead"
	// SourceReady, SourceRefused and SourceOpened are the target's messages.
	SourceReady   SourceInputKind = "ready"
	SourceRefused SourceInputKind = "refused"
	SourceOpened  SourceInputKind = "opened"
	// SourceListed brings the registered nodes; the list was read after the
	// record was in PhaseArming under this driver's epoch.
	SourceListed SourceInputKind = "listed"
	// SourceArmed and SourceStopped are nodes' acknowledgements.
	SourceArmed   SourceInputKind = "armed"
	SourceStopped SourceInputKind = "stopped"
	// SourceExported tells the number of parts of the export.
	SourceExported SourceInputKind = "exported"
	// SourcePartTaken is the target's receipt for a part.
	SourcePartTaken SourceInputKind = "part-taken"
	// SourceResend says that the target lacks parts.
	SourceResend SourceInputKind = "resend"
	// SourceSettled says that nothing is in flight and all late parts are taken.
	SourceSettled SourceInputKind = "settled"
)

// SourceInput is one input. Which fields count depends on its kind.
type SourceInput struct {
	Kind         SourceInputKind
	Node         string
	Nodes        []string
	Epoch        int64
	Part         int
	Parts        int
	Reason       string
	RelayAddress string
}
