package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// relayKey is the key whose first maxContacts owners are the region's relays, the
// members that exchange summaries with other regions.
const relayKey = "relay"

// tickRegion returns no calls unless this node is a relay. Each relay calls other
// regions to exchange summaries; the first one also summarizes this region.
func (t *Table) tickRegion(now time.Time) []Call {
	notifyAll := t.regions.notifyAll
	t.regions.notifyAll = false
	if now.Before(t.regions.nextExchange) && !notifyAll {
		return nil
	}
	interval := t.settings.RegionInterval
	t.regions.nextExchange = now.Add(interval*9/10 + t.jitter(interval/5))
	relays := t.Snapshot().Owners(relayKey, maxContacts)
	position := -1
	for i, m := range relays {
		if m.Name == t.self.record.Name {
			position = i
		}
	}
	if position < 0 {
		return nil
	}
	if position == 0 {
		t.composeSummary(now, relays)
	}
	return t.callRegions(notifyAll && position == 0)
}

// composeSummary stores a new summary of this region, unless the last one is equivalent
// and newer than summaryRefresh.
func (t *Table) composeSummary(now time.Time, relays []Member) {
	s := t.summarize(relays)
	old := t.regions.entry(s.Region)
	if old == nil {
		return
	}
	age := now.Sub(time.UnixMilli(old.summary.GetVersion()))
	s.Version = old.summary.GetVersion()
	if age < summaryRefresh && equivalent(s, old.summary) {
		return
	}
	s.Version = max(now.UnixMilli(), s.Version+1)
	t.regions.merge(now, s, t.gossipRounds())
}

// equivalent ignores differences that may wait for the next refresh: small ones in
// load, and the revision, which every message carries as newest_revision.
func equivalent(s, old *membershipv1.RegionSummary) bool {
	load, oldLoad := s.GetLoad(), old.GetLoad()
	if max(load, oldLoad)-min(load, oldLoad) >= minSummaryLoadChange {
		return false
	}
	normalized := proto.CloneOf(s)
	normalized.Load = oldLoad
	normalized.ConfigRevision = old.GetConfigRevision()
	return proto.Equal(normalized, old)
}

func (t *Table) summarize(relays []Member) *membershipv1.RegionSummary {
	s := &membershipv1.RegionSummary{Region: t.self.record.Region}
	var load uint32
	for _, e := range t.list {
		if e.record.Liveness == dead {
			continue
		}
		s.Members++
		s.ConfigRevision = max(s.ConfigRevision, e.configRevision)
		if !e.record.Leaving {
			s.Serving++
			load += e.load
		}
	}
	if s.Serving > 0 {
		s.Load = load / s.Serving
	}
	for _, m := range relays {
		s.Contacts = append(s.Contacts, &membershipv1.Contact{Name: m.Name, PeerAddress: m.PeerAddress})
	}
	return s
}

// callRegions calls one random other region, or all for urgent changes.
func (t *Table) callRegions(all bool) []Call {
	var others []string
	for _, name := range t.regions.names() {
		if name != t.regions.ownRegion && len(t.regions.contacts(name)) > 0 {
			others = append(others, name)
		}
	}
	if len(others) == 0 {
		return nil
	}
	if !all {
		others = []string{others[t.rng.IntN(len(others))]}
	}
	calls := make([]Call, len(others))
	for i, name := range others {
		contacts := t.regions.contacts(name)
		calls[i] = Call{
			Kind:    CallRegion,
			Address: contacts[t.rng.IntN(len(contacts))].PeerAddress,
			Request: &membershipv1.SyncRequest{Gossip: t.regionGossip()},
		}
	}
	return calls
}

func (t *Table) regionGossip() *membershipv1.Gossip {
	return &membershipv1.Gossip{
		Sender:         t.self.record,
		Regions:        t.regions.all(),
		NewestRevision: t.newestRevision,
	}
}

func (t *Table) handleRegionSync(now time.Time, r *membershipv1.SyncRequest) *membershipv1.SyncResponse {
	gossip := r.GetGossip()
	t.mergeRegionGossip(now, gossip)
	return &membershipv1.SyncResponse{Gossip: t.regionGossip()}
}

func (t *Table) handleRegionResponse(now time.Time, c Call, gossip *membershipv1.Gossip) {
	t.seeds.remove(c.Address)
	t.mergeRegionGossip(now, gossip)
}

func (t *Table) mergeRegionGossip(now time.Time, gossip *membershipv1.Gossip) {
	sender := gossip.GetSender()
	if sender.GetRegion() == "" {
		return
	}
	t.regions.addContact(sender.GetRegion(), sender.GetName(), sender.GetPeerAddress())
	for _, s := range gossip.GetRegions() {
		t.mergeRegion(now, s)
	}
	t.mergeRevision(gossip.GetNewestRevision())
}

func (t *Table) mergeRegion(now time.Time, s *membershipv1.RegionSummary) {
	if s.GetRegion() == "" || !t.regions.merge(now, s, t.gossipRounds()) {
		return
	}
	t.mergeRevision(s.GetConfigRevision())
	t.version++
}
