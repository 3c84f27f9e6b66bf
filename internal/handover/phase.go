package handover

// Role is a side of a move.
type Role string

// The roles.
const (
	RoleSource Role = "source"
	RoleTarget Role = "target"
)

// Phase is how far a move is on one side, as that side's platform has it.
type Phase string

// The phases of the source, in their order.
const (
	// PhaseOffered: the target is asked to prepare.
	PhaseOffered Phase = "offered"
	// PhaseArming: the target is ready; the nodes here are asked to serve by
	// permits only.
	PhaseArming Phase = "arming"
	// PhaseSealed: nothing of the set is started here any more.
	PhaseSealed Phase = "sealed"
	// PhaseOpened: the target serves the set.
	PhaseOpened Phase = "opened"
)

// The phases of the target, in their order.
const (
	// PhasePreparing: models are loaded, capacity is checked.
	PhasePreparing Phase = "preparing"
	// PhaseReady: the source may seal.
	PhaseReady Phase = "ready"
	// PhaseOpen: this side serves the set.
	PhaseOpen Phase = "open"
)

// The last phases of both sides.
const (
	PhaseDone      Phase = "done"
	PhaseAbandoned Phase = "abandoned"
)

// Final says that the move changes no more.
func (p Phase) Final() bool { return p == PhaseDone || p == PhaseAbandoned }

// sealedHere says that the source side may start nothing of the set.
func (p Phase) sealedHere() bool {
	return p == PhaseSealed || p == PhaseOpened || p == PhaseDone
}

// rank orders the phases of one role: a move's rank only grows.
func (p Phase) rank() int {
	switch p {
	case PhaseOffered, PhasePreparing:
		return 0
	case PhaseArming, PhaseReady:
		return 1
	case PhaseSealed, PhaseOpen:
		return 2
	case PhaseOpened:
		return 3
	}
	return 4
}
