package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// relayKey is the key whose owners speak for the region.
const relayKey = "relay"

// tickRegion lets the region's relays compose its summary and exchange
// summaries with another region.
func (t *Table) tickRegion(now time.Time) []Call {
	tellAll := t.regions.tellAll
	t.regions.tellAll = false
	if now.Before(t.regions.next) && !tellAll {
		return nil
	}
	interval := t.settings.RegionInterval
	t.regions.next = now.Add(interval*9/10 + t.jitter(interval/5))
	relays := t.Snapshot().Owners(relayKey, maxContacts)
	place := -1
	for i, m := range relays {
		if m.Name == t.self.wire.Name {
			place = i
		}
	}
	if place < 0 {
		return nil
	}
	if place == 0 {
		t.composeSummary(now, relays)
	}
	return t.callRegions(tellAll && place == 0)
}

// composeSummary makes a new summary of the own region where the old one says
// something else or has become old.
func (t *Table) composeSummary(now time.Time, relays []Member) {
	s := t.summarize(relays)
	old := t.regions.entry(s.Region)
	if old == nil {
		return
	}
	age := now.Sub(time.UnixMilli(old.summary.GetVersion()))
	s.Version = old.summary.GetVersion()
	if age < summaryRefresh && alike(s, old.summary) {
		return
	}
	s.Version = max(now.UnixMilli(), s.Version+1)
	t.regions.merge(now, s, t.rounds())
}

// alike reports whether two summaries differ only in what may wait for the
// next refresh: little in load, and the revision, which every message carries
// as the newest one heard of.
func alike(s, old *membershipv1.RegionSummary) bool {
	load, oldLoad := s.GetLoad(), old.GetLoad()
	if max(load, oldLoad)-min(load, oldLoad) >= summaryLoadChange {
		return false
	}
	same := proto.CloneOf(s)
	same.Load = oldLoad
	same.ConfigRevision = old.GetConfigRevision()
	return proto.Equal(same, old)
}

func (t *Table) summarize(relays []Member) *membershipv1.RegionSummary {
	s := &membershipv1.RegionSummary{Region: t.self.wire.Region}
	var load uint32
	for _, e := range t.list {
		if e.wire.Liveness == dead {
			continue
		}
		s.Members++
		s.ConfigRevision = max(s.ConfigRevision, e.revision)
		if !e.wire.Leaving {
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

// callRegions calls one random other region, or each of them, which the first
// relay does at once for news.
func (t *Table) callRegions(all bool) []Call {
	var others []string
	for _, name := range t.regions.names() {
		if name != t.regions.own && len(t.regions.contacts(name)) > 0 {
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

// regionGossip is what goes to another region.
func (t *Table) regionGossip() *membershipv1.Gossip {
	return &membershipv1.Gossip{
		Sender:         t.self.wire,
		Regions:        t.regions.all(),
		NewestRevision: t.newestRevision,
	}
}

func (t *Table) handleRegion(now time.Time, r *membershipv1.SyncRequest) *membershipv1.SyncResponse {
	gossip := r.GetGossip()
	t.mergeForeign(now, gossip)
	return &membershipv1.SyncResponse{Gossip: t.regionGossip()}
}

func (t *Table) answeredRegion(now time.Time, c Call, gossip *membershipv1.Gossip) {
	t.seeds.answered(c.Address)
	t.mergeForeign(now, gossip)
}

func (t *Table) mergeForeign(now time.Time, gossip *membershipv1.Gossip) {
	sender := gossip.GetSender()
	if sender.GetRegion() == "" {
		return
	}
	t.regions.learn(sender.GetRegion(), sender.GetName(), sender.GetPeerAddress())
	for _, s := range gossip.GetRegions() {
		t.mergeRegion(now, s)
	}
	t.heardRevision(gossip.GetNewestRevision())
}

func (t *Table) mergeRegion(now time.Time, s *membershipv1.RegionSummary) {
	if s.GetRegion() == "" || !t.regions.merge(now, s, t.rounds()) {
		return
	}
	t.heardRevision(s.GetConfigRevision())
	t.version++
}
