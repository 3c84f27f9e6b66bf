package placement

import "time"

const (
	// announceTime is how long a placement is announced to other nodes: long enough for an
	// exchange with most of them.
	announceTime = 1500 * time.Millisecond
	// relayTime is how long a placement received from another node is relayed: about three rounds
	// of exchanges.
	relayTime = 600 * time.Millisecond
	// maxPlacements bounds the replicas in one announcement.
	maxPlacements = 128
	// maxPlacementParts bounds the parts announced per replica.
	maxPlacementParts = 64
)

// Placement announces that prompts with these parts were recently sent to a replica.
type Placement struct {
	Replica string
	Parts   []uint64
}

// placements tracks which parts were recently sent to which replica.
type placements struct {
	byReplica map[string]map[uint64]announcedPart
}

type announcedPart struct {
	recordedAt, expiresAt time.Time
}

// add records that a prompt with these parts was sent to the replica. The deepest part implies
// all before it.
func (p *placements) add(now time.Time, replica string, parts []PromptPart) {
	if len(parts) > 0 {
		p.record(replica, parts[len(parts)-1].ID, announcedPart{recordedAt: now, expiresAt: now.Add(announceTime)})
	}
}

func (p *placements) record(replica string, part uint64, entry announcedPart) {
	if p.byReplica == nil {
		p.byReplica = make(map[string]map[uint64]announcedPart)
	}
	placed, ok := p.byReplica[replica]
	if !ok {
		placed = make(map[uint64]announcedPart)
		p.byReplica[replica] = placed
	}
	if entry.expiresAt.After(placed[part].expiresAt) {
		placed[part] = entry
	}
}

// relay records another node's placement for announcement during relayTime. Parts that cached
// shows as used within that time are skipped, as they were probably announced already.
func (p *placements) relay(now time.Time, placed Placement, cached *cache) {
	for _, part := range placed.Parts {
		if cached.sinceUsed(now, part) > relayTime {
			p.record(placed.Replica, part, announcedPart{recordedAt: now, expiresAt: now.Add(relayTime)})
		}
	}
}

// recent appends the placements recorded after since, and deletes expired ones.
func (p *placements) recent(now, since time.Time, list []Placement) []Placement {
	for replica, placed := range p.byReplica {
		placement := Placement{Replica: replica}
		for part, entry := range placed {
			if now.After(entry.expiresAt) {
				delete(placed, part)
			} else if entry.recordedAt.After(since) && len(placement.Parts) < maxPlacementParts {
				placement.Parts = append(placement.Parts, part)
			}
		}
		if len(placed) == 0 {
			delete(p.byReplica, replica)
		}
		if len(placement.Parts) > 0 && len(list) < maxPlacements {
			list = append(list, placement)
		}
	}
	return list
}

// Placements returns where prompts were recently sent, as recorded after since. Callers pass
// the time of their last exchange with a node, to send each placement to it only once:
// resent, the placements of 295 nodes in a burst were most of the traffic between nodes.
func (p *Placer) Placements(now, since time.Time) []Placement {
	var list []Placement
	for _, u := range p.allUpstreams() {
		u.mu.Lock()
		list = u.recentPlacements.recent(now, since, list)
		u.mu.Unlock()
	}
	return list
}

// SetPlacements records another node's placements. With relay set, this node also announces them
// during relayTime, for nodes that do not exchange data with that other node.
func (p *Placer) SetPlacements(list []Placement, relay bool, now time.Time) {
	for _, u := range p.allUpstreams() {
		u.mu.Lock()
		for _, placed := range list {
			s, ok := u.states[placed.Replica]
			if !ok {
				continue
			}
			if relay {
				u.recentPlacements.relay(now, placed, &s.cache)
			}
			for _, part := range placed.Parts {
				s.cache.touch(now, part)
			}
			s.cache.evict(now)
		}
		u.mu.Unlock()
	}
}
