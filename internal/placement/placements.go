package placement

import "time"

const (
	// placedFor is how long a placement is told to other nodes: until each of
	// them has most likely been asked once.
	placedFor = 1500 * time.Millisecond
	// relayedFor is how long a placement is told on that another node told: some
	// three rounds of calls.
	relayedFor = 600 * time.Millisecond
	// maxPlaced bounds the replicas whose placements one node tells.
	maxPlaced = 128
	// maxPlacedParts bounds the parts told of one replica.
	maxPlacedParts = 64
)

// Placement tells that a replica was given prompts with these parts lately.
type Placement struct {
	Replica string
	Parts   []uint64
}

// placements remembers for a short time which parts were sent where.
type placements struct {
	at map[string]map[uint64]time.Time
}

// add notes that a prompt with these parts was sent to the replica. The deepest
// one stands for all before it.
func (p *placements) add(now time.Time, replica string, parts []Part) {
	if len(parts) > 0 {
		p.note(now, replica, parts[len(parts)-1].ID)
	}
}

func (p *placements) note(at time.Time, replica string, part uint64) {
	if p.at == nil {
		p.at = make(map[string]map[uint64]time.Time)
	}
	placed, ok := p.at[replica]
	if !ok {
		placed = make(map[uint64]time.Time)
		p.at[replica] = placed
	}
	if at.After(placed[part]) {
		placed[part] = at
	}
}

// relay notes another node's placement to be told on for relayedFor. What the
// cache knew just before was told on already.
func (p *placements) relay(now time.Time, placed Placement, known *cache) {
	for _, part := range placed.Parts {
		if known.usedSince(now, part) > relayedFor {
			p.note(now.Add(relayedFor-placedFor), placed.Replica, part)
		}
	}
}

// recent appends the placements that are still told, and forgets the others.
func (p *placements) recent(now time.Time, list []Placement) []Placement {
	for replica, placed := range p.at {
		told := Placement{Replica: replica}
		for part, at := range placed {
			if now.Sub(at) > placedFor {
				delete(placed, part)
			} else if len(told.Parts) < maxPlacedParts {
				told.Parts = append(told.Parts, part)
			}
		}
		if len(placed) == 0 {
			delete(p.at, replica)
		}
		if len(told.Parts) > 0 && len(list) < maxPlaced {
			list = append(list, told)
		}
	}
	return list
}

// Placements is where this node sent prompts lately.
func (p *Placer) Placements(now time.Time) []Placement {
	var list []Placement
	for _, u := range p.all() {
		u.mu.Lock()
		list = u.placed.recent(now, list)
		u.mu.Unlock()
	}
	return list
}

// SetPlacements takes in where another node sent prompts lately. With relay set
// this node tells it on for a while, to those that the other one did not meet.
func (p *Placer) SetPlacements(list []Placement, relay bool, now time.Time) {
	for _, u := range p.all() {
		u.mu.Lock()
		for _, placed := range list {
			s, ok := u.states[placed.Replica]
			if !ok {
				continue
			}
			if relay {
				u.placed.relay(now, placed, &s.cache)
			}
			for _, part := range placed.Parts {
				s.cache.note(now, part)
			}
			s.cache.bound(now)
		}
		u.mu.Unlock()
	}
}
