package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

type regionEntry struct {
	summary *membershipv1.RegionSummary
	// transmitsLeft is the number of messages that are still to carry the summary.
	transmitsLeft int
	receivedAt    time.Time
	// extraContacts maps node names to peer addresses that are not from the current
	// summary.
	extraContacts map[string]string
}

// regionTable has the summaries of all regions, including this one.
type regionTable struct {
	ownRegion    string
	entries      map[string]*regionEntry
	nextExchange time.Time
	// notifyAll requests calls to all regions before nextExchange.
	notifyAll bool
}

func newRegionTable(own string) *regionTable {
	return &regionTable{ownRegion: own, entries: make(map[string]*regionEntry)}
}

// entry returns the region's entry, which it adds if necessary, or nil if the table
// is full.
func (r *regionTable) entry(region string) *regionEntry {
	e, ok := r.entries[region]
	if ok {
		return e
	}
	if len(r.entries) >= MaxRegions {
		return nil
	}
	e = &regionEntry{extraContacts: make(map[string]string)}
	r.entries[region] = e
	return e
}

// addContact adds an extra contact, up to maxContacts.
func (r *regionTable) addContact(region, name, address string) {
	e := r.entry(region)
	if e == nil {
		return
	}
	if _, ok := e.extraContacts[name]; !ok && len(e.extraContacts) >= maxContacts {
		return
	}
	e.extraContacts[name] = address
}

// merge stores a summary if it is newer, and reports whether it did.
func (r *regionTable) merge(now time.Time, s *membershipv1.RegionSummary, transmits int) bool {
	e := r.entry(s.GetRegion())
	if e == nil || s.GetVersion() <= e.summary.GetVersion() {
		return false
	}
	e.summary = s
	e.transmitsLeft = transmits
	e.receivedAt = now
	return true
}

// take returns up to n summaries with the most transmissions left, and uses up one of
// each.
func (r *regionTable) take(n int) []*membershipv1.RegionSummary {
	var pending []*regionEntry
	for _, e := range r.entries {
		if e.transmitsLeft > 0 && e.summary != nil {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *regionEntry) int {
		if a.transmitsLeft != b.transmitsLeft {
			return b.transmitsLeft - a.transmitsLeft
		}
		return compareStrings(a.summary.Region, b.summary.Region)
	})
	pending = pending[:min(n, len(pending))]
	var summaries []*membershipv1.RegionSummary
	for _, e := range pending {
		e.transmitsLeft--
		summaries = append(summaries, e.summary)
	}
	return summaries
}

func (r *regionTable) all() []*membershipv1.RegionSummary {
	var summaries []*membershipv1.RegionSummary
	for _, name := range r.names() {
		if s := r.entries[name].summary; s != nil {
			summaries = append(summaries, s)
		}
	}
	return summaries
}

func (r *regionTable) names() []string {
	names := make([]string, 0, len(r.entries))
	for name := range r.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// contacts returns the contacts of the summary and the extra ones, ordered by address.
func (r *regionTable) contacts(region string) []*membershipv1.Contact {
	e := r.entries[region]
	contacts := slices.Clone(e.summary.GetContacts())
	for name, address := range e.extraContacts {
		contacts = append(contacts, &membershipv1.Contact{Name: name, PeerAddress: address})
	}
	slices.SortFunc(contacts, func(a, b *membershipv1.Contact) int { return compareStrings(a.PeerAddress, b.PeerAddress) })
	return slices.CompactFunc(contacts, func(a, b *membershipv1.Contact) bool { return proto.Equal(a, b) })
}

// expire removes summaries not renewed for summaryTTL, but keeps their contacts.
func (r *regionTable) expire(now time.Time) {
	for name, e := range r.entries {
		if e.summary == nil || name == r.ownRegion || now.Sub(e.receivedAt) < summaryTTL {
			continue
		}
		for _, c := range e.summary.Contacts {
			r.addContact(name, c.Name, c.PeerAddress)
		}
		e.summary = nil
	}
}

// view returns the summaries of the other regions, ordered by name.
func (r *regionTable) view() []Region {
	var regions []Region
	for _, s := range r.all() {
		if s.Region == r.ownRegion {
			continue
		}
		region := Region{
			Name:           s.Region,
			Members:        int(s.Members),
			Serving:        int(s.Serving),
			Load:           float64(s.Load) / loadSteps,
			ConfigRevision: s.ConfigRevision,
			SummarizedAt:   time.UnixMilli(s.Version),
		}
		for _, c := range s.Contacts {
			region.Contacts = append(region.Contacts, c.PeerAddress)
		}
		regions = append(regions, region)
	}
	return regions
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
