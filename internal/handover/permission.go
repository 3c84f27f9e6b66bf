package handover

import (
	"slices"
	"time"
)

// Permission is what one node knows of the moves and may do. It is pure; Gate
// keeps it under a lock. A node that does not know that a set is unsealed here
// must not start work of it: before a move all registered nodes know, while
// armed a node knows for the term of its permit, after the seal none does.
type Permission struct {
	// Home says whether this side serves a request's set as long as no move
	// says otherwise.
	Home func(upstream, workspace string) bool
	// Term is the length of a permit.
	Term time.Duration
	// Registered says that this node's registration was durable before it
	// read the moves: no move seals without this node's acknowledgement.
	Registered bool
	// VouchedUntil ends what a registered peer lends an unregistered node.
	VouchedUntil time.Time
	// Revision is the platform's at the newest copy of the moves.
	Revision int64

	moves []nodeMove
}

// nodeMove is one move as a node knows it.
type nodeMove struct {
	move Move
	// armed is the highest driver epoch that this node is armed for; zero: it
	// is not.
	armed int64
	// until ends the permit; zero: none.
	until time.Time
}

// Refresh takes in a copy of all moves as the platform had them at revision.
// Older copies are ignored.
func (p *Permission) Refresh(moves []Move, revision int64) {
	if revision < p.Revision {
		return
	}
	p.Revision = revision
	for _, m := range moves {
		p.learn(m)
	}
	p.moves = slices.DeleteFunc(p.moves, func(n nodeMove) bool { return !listed(moves, n.move.ID) && n.move.Revision != 0 })
	slices.SortStableFunc(p.moves, newestFirst)
}

// learn merges one record. What a driver said directly may be newer than the
// copy: neither an arming nor a seal is forgotten.
func (p *Permission) learn(m Move) {
	n := p.find(m.ID)
	if n == nil {
		p.moves = append(p.moves, nodeMove{move: m})
		n = &p.moves[len(p.moves)-1]
	}
	if m.older(n.move) {
		return
	}
	n.move = m
	if !p.Registered && m.Role == RoleSource && m.Phase == PhaseArming && m.DriverEpoch > n.armed {
		// The first read after the registration: the driver may have listed
		// the nodes before, so this one serves by permits from the start. One
		// that registered before the record was written is asked to arm.
		n.armed, n.until = m.DriverEpoch, time.Time{}
	}
}

// Arm makes the node serve the move's set by permits of the driver at epoch.
// The first call for an epoch starts a term; copies that come later don't.
func (p *Permission) Arm(id string, set Set, driver string, epoch int64, now time.Time) bool {
	n := p.find(id)
	if n == nil {
		p.moves = slices.Insert(p.moves, 0, nodeMove{move: Move{ID: id, Role: RoleSource, Set: set, Phase: PhaseArming, DriverEpoch: epoch, Driver: driver}})
		n = &p.moves[0]
	}
	if n.move.Phase.sealedHere() || n.move.Phase.Final() || epoch < n.armed {
		return false
	}
	if epoch > n.armed {
		n.move.Phase, n.move.DriverEpoch, n.move.Driver = PhaseArming, epoch, driver
		n.armed, n.until = epoch, now.Add(p.Term)
	}
	return true
}

// Stop tells that the move's set is sealed, or opened by the target.
func (p *Permission) Stop(m Move) {
	n := p.find(m.ID)
	if n == nil {
		p.moves = slices.Insert(p.moves, 0, nodeMove{move: Move{ID: m.ID, Role: RoleSource, Set: m.Set, DriverEpoch: m.DriverEpoch}})
		n = &p.moves[0]
	}
	n.until = time.Time{}
	if n.move.Phase.rank() < m.Phase.rank() {
		n.move.Phase, n.move.RelayAddress = m.Phase, m.RelayAddress
	}
}

// Permit takes in the driver's answer to a question sent at asked.
func (p *Permission) Permit(id string, epoch int64, asked time.Time, permitted bool) {
	n := p.find(id)
	if n == nil || !permitted || n.armed != epoch || n.move.Phase != PhaseArming {
		return
	}
	if until := asked.Add(p.Term); until.After(n.until) {
		n.until = until
	}
}

// Ask is a permit that this node needs from the move's driver.
type Ask struct {
	MoveID string
	Driver string
	Epoch  int64
}

// Asks returns the permits to ask for now.
func (p *Permission) Asks() []Ask {
	var asks []Ask
	for _, n := range p.moves {
		if n.armed > 0 && n.move.Phase == PhaseArming {
			asks = append(asks, Ask{MoveID: n.move.ID, Driver: n.move.Driver, Epoch: n.armed})
		}
	}
	return asks
}

// Lend returns the moves for a node that serves on this node's permission for
// a term; false where this node is not registered itself or a move is between
// arming and open.
func (p *Permission) Lend() ([]Move, bool) {
	if !p.Registered {
		return nil, false
	}
	var moves []Move
	for _, n := range p.moves {
		if n.armed > 0 && n.move.Phase == PhaseArming || n.move.Phase == PhaseSealed {
			return nil, false
		}
		moves = append(moves, n.move)
	}
	return moves, true
}

// Verdict answers for a request at now.
func (p *Permission) Verdict(upstream, workspace string, now time.Time) Verdict {
	if !p.Registered && !now.Before(p.VouchedUntil) {
		return Verdict{Kind: Wait}
	}
	for _, n := range p.moves {
		if !n.move.Set.Has(upstream, workspace) {
			continue
		}
		if verdict, decides := n.verdict(now); decides {
			return verdict
		}
	}
	if p.Home(upstream, workspace) {
		return Verdict{Kind: Serve}
	}
	return Verdict{Kind: NotHere}
}

// verdict says what one move makes of a request of its set; false where the
// move changes nothing yet, or nothing any more.
func (n nodeMove) verdict(now time.Time) (Verdict, bool) {
	switch {
	case n.move.Role == RoleTarget && (n.move.Phase == PhaseOpen || n.move.Phase == PhaseDone):
		return Verdict{Kind: Serve}, true
	case n.move.Role == RoleTarget, n.move.Phase == PhaseOffered, n.move.Phase == PhaseAbandoned:
		return Verdict{}, false
	case n.move.Phase == PhaseSealed:
		return Verdict{Kind: Wait}, true
	case n.move.Phase == PhaseOpened, n.move.Phase == PhaseDone:
		return Verdict{Kind: Relay, Address: n.move.RelayAddress}, true
	case n.armed == 0, now.Before(n.until):
		// Not armed, though registered before the record: the seal waits for
		// this node. Or the permit lets pass. An older move may then decide.
		return Verdict{}, false
	}
	return Verdict{Kind: Wait}, true
}

func (p *Permission) find(id string) *nodeMove {
	for i := range p.moves {
		if p.moves[i].move.ID == id {
			return &p.moves[i]
		}
	}
	return nil
}

func listed(moves []Move, id string) bool {
	return slices.ContainsFunc(moves, func(m Move) bool { return m.ID == id })
}
