package gateway

import (
	"net/http"
	"slices"
	"strings"

	"galenatrestle/internal/membership"
)

// EntryTTLSeconds is how long callers may keep the answer of GET /entries.
const EntryTTLSeconds = 5

// Entry is one address callers may use.
type Entry struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	State            string `json:"state"`
}

// EntryList answers GET /entries: nearest and least loaded first.
type EntryList struct {
	Entries    []Entry `json:"entries"`
	TTLSeconds int     `json:"ttl_seconds"`
	Revision   int64   `json:"revision"`
}

func (s *Server) entries(w http.ResponseWriter, r *http.Request) {
	zone := r.URL.Query().Get("availability_zone")
	if zone == "" {
		zone = s.options.Members.Self().AvailabilityZone
	}
	writeJSON(w, http.StatusOK, ListEntries(s.options.Members, zone))
}

// ListEntries returns the entry addresses of the members that can serve, those of
// the zone first and then the less loaded. Until the first configuration of the
// deployment those are all that run.
func ListEntries(view membership.View, zone string) EntryList {
	members := view.Members()
	configured := slices.ContainsFunc(members, hasConfiguration)
	members = slices.DeleteFunc(members, func(m membership.Member) bool {
		// One that has just started refuses all until it has the configuration.
		return m.State != membership.StateServing || configured && !hasConfiguration(m)
	})
	slices.SortStableFunc(members, func(a, b membership.Member) int {
		return compareMembers(a, b, zone)
	})
	list := EntryList{TTLSeconds: EntryTTLSeconds, Revision: view.Self().ConfigRevision, Entries: []Entry{}}
	for _, m := range members {
		list.Entries = append(list.Entries, Entry{
			Address:          m.EntryAddress,
			AvailabilityZone: m.AvailabilityZone,
			State:            string(m.State),
		})
	}
	return list
}

func hasConfiguration(m membership.Member) bool { return m.ConfigRevision > 0 }

// compareMembers puts members of the zone first, then the less loaded.
func compareMembers(a, b membership.Member, zone string) int {
	aNear, bNear := a.AvailabilityZone == zone, b.AvailabilityZone == zone
	if aNear != bNear {
		if aNear {
			return -1
		}
		return 1
	}
	if a.Load != b.Load {
		if a.Load < b.Load {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}
