package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// regionEntry is what is known of one region.
type regionEntry struct {
	summary *membershipv1.RegionSummary
	// left counts how often the summary is still to be sent on.
	left int
	// heard is when the summary came in.
	heard time.Time
	// learned holds contacts from seeds, by name.
	learned map[string]string
}

// regionTable holds the summaries of all regions, the own one included.
type regionTable struct {
	own     string
	entries map[string]*regionEntry
	next    time.Time
	// tellAll says that news of the own region must not wait for next.
	tellAll bool
}

func newRegionTable(own string) *regionTable {
	return &regionTable{own: own, entries: make(map[string]*regionEntry)}
}

func (r *regionTable) entry(region string) *regionEntry {
	e, ok := r.entries[region]
	if ok {
		return e
	}
	if len(r.entries) >= MaxRegions {
		return nil
	}
	e = &regionEntry{learned: make(map[string]string)}
	r.entries[region] = e
	return e
}

// learn adds a contact that did not come with a summary.
func (r *regionTable) learn(region, name, address string) {
	e := r.entry(region)
	if e == nil {
		return
	}
	if _, ok := e.learned[name]; !ok && len(e.learned) >= maxContacts {
		return
	}
	e.learned[name] = address
}

// merge takes a summary in if it is newer; it reports whether it was.
func (r *regionTable) merge(now time.Time, s *membershipv1.RegionSummary, transmissions int) bool {
	e := r.entry(s.GetRegion())
	if e == nil || s.GetVersion() <= e.summary.GetVersion() {
		return false
	}
	e.summary = s
	e.left = transmissions
	e.heard = now
	return true
}

// take picks the summaries least often sent.
func (r *regionTable) take(n int) []*membershipv1.RegionSummary {
	var waiting []*regionEntry
	for _, e := range r.entries {
		if e.left > 0 && e.summary != nil {
			waiting = append(waiting, e)
		}
	}
	slices.SortFunc(waiting, func(a, b *regionEntry) int {
		if a.left != b.left {
			return b.left - a.left
		}
		return compareStrings(a.summary.Region, b.summary.Region)
	})
	waiting = waiting[:min(n, len(waiting))]
	var summaries []*membershipv1.RegionSummary
	for _, e := range waiting {
		e.left--
		summaries = append(summaries, e.summary)
	}
	return summaries
}

// all returns every summary, ordered by region.
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

// contacts returns the known contacts of a region, those of its summary first.
func (r *regionTable) contacts(region string) []*membershipv1.Contact {
	e := r.entries[region]
	contacts := slices.Clone(e.summary.GetContacts())
	for name, address := range e.learned {
		contacts = append(contacts, &membershipv1.Contact{Name: name, PeerAddress: address})
	}
	slices.SortFunc(contacts, func(a, b *membershipv1.Contact) int { return compareStrings(a.PeerAddress, b.PeerAddress) })
	return slices.CompactFunc(contacts, func(a, b *membershipv1.Contact) bool { return proto.Equal(a, b) })
}

// expire forgets summaries that were not renewed, but keeps their contacts.
func (r *regionTable) expire(now time.Time) {
	for name, e := range r.entries {
		if e.summary == nil || name == r.own || now.Sub(e.heard) < summaryTime {
			continue
		}
		for _, c := range e.summary.Contacts {
			r.learn(name, c.Name, c.PeerAddress)
		}
		e.summary = nil
	}
}

// view returns the other regions for a snapshot, ordered by name.
func (r *regionTable) view() []Region {
	var regions []Region
	for _, s := range r.all() {
		if s.Region == r.own {
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
