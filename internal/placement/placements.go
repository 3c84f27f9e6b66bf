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
	noted map[string]map[uint64]notedPart
}

// notedPart is when a part was noted, and until when it is told.
type notedPart struct {
	at, till time.Time
}

// add notes that a prompt with these parts was sent to the replica. The deepest
// one stands for all before it.
func (p *placements) add(now time.Time, replica string, parts []PromptPart) {
	if len(parts) > 0 {
		p.note(replica, parts[len(parts)-1].ID, notedPart{at: now, till: now.Add(placedFor)})
	}
}

func (p *placements) note(replica string, part uint64, noted notedPart) {
	if p.noted == nil {
		p.noted = make(map[string]map[uint64]notedPart)
	}
	placed, ok := p.noted[replica]
	if !ok {
		placed = make(map[uint64]notedPart)
		p.noted[replica] = placed
	}
	if noted.till.After(placed[part].till) {
		placed[part] = noted
	}
}

// relay notes another node's placement to be told on for relayedFor. What the
// cache knew just before was told on already.
func (p *placements) relay(now time.Time, placed Placement, known *cache) {
	for _, part := range placed.Parts {
		if known.usedSince(now, part) > relayedFor {
			p.note(placed.Replica, part, notedPart{at: now, till: now.Add(relayedFor)})
		}
	}
}

// recent appends the placements that are still told and were noted after since, and
// forgets those that are not told any more.
func (p *placements) recent(now, since time.Time, list []Placement) []Placement {
	for replica, placed := range p.noted {
		told := Placement{Replica: replica}
		for part, noted := range placed {
			if now.After(noted.till) {
				delete(placed, part)
			} else if noted.at.After(since) && len(told.Parts) < maxPlacedParts {
				told.Parts = append(told.Parts, part)
			}
		}
		if len(placed) == 0 {
			delete(p.noted, replica)
		}
		if len(told.Parts) > 0 && len(list) < maxPlaced {
			list = append(list, told)
		}
	}
	return list
}

// Placements is where this node sent prompts lately, as far as it was noted after since:
// what a node was told before it need not hear again. Told in each exchange for as long
// as they count, the placements of 295 nodes under a burst were most of what nodes sent
// each other.
func (p *Placer) Placements(now, since time.Time) []Placement {
	var list []Placement
	for _, u := range p.all() {
		u.mu.Lock()
		list = u.placed.recent(now, since, list)
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
