package route

import (
	"maps"
	"net"
	"slices"
	"strings"
)

// Table answers which route and which workspace a request belongs to. It is
// immutable.
type Table struct {
	Version int64
	Limits  Limits
	// byHost holds the routes of each host, the longest prefix first.
	byHost     map[string][]*Route
	upstreams  map[string]*Upstream
	workspaces map[string]*Workspace
	open       bool
	// workspaceTiers is the number of tiers that workspaces may have.
	workspaceTiers int
	// routeTiers is the number of tiers that the routes to each upstream may have.
	routeTiers map[string]int
}

// NewTable builds a table.
func NewTable(d *Document) *Table {
	t := &Table{
		Version:    d.Version,
		Limits:     d.Limits,
		byHost:     make(map[string][]*Route),
		upstreams:  make(map[string]*Upstream, len(d.Upstreams)),
		workspaces: make(map[string]*Workspace),
		open:       d.Open,

		workspaceTiers: 1, routeTiers: make(map[string]int),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		for _, target := range r.Targets {
			t.routeTiers[target.Upstream] = max(t.routeTiers[target.Upstream], r.Tier+1)
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Upstreams {
		t.upstreams[d.Upstreams[i].Name] = &d.Upstreams[i]
	}
	for i := range d.Workspaces {
		t.workspaceTiers = max(t.workspaceTiers, d.Workspaces[i].Tier+1)
		for _, key := range d.Workspaces[i].Keys {
			t.workspaces[key] = &d.Workspaces[i].Workspace
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix that begins the
// path, which is taken as sent, without decoding.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Workspace returns the workspace that holds the key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// NeedsKey says whether a request on the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return !t.open && !r.Anonymous }

// Admitted is who may call the routes that are not anonymous.
type Admitted string

const (
	AdmitsAll  Admitted = "all"
	AdmitsKeys Admitted = "keys"
	AdmitsNone Admitted = "none"
)

// Admits tells who may call the routes that are not anonymous.
func (t *Table) Admits() Admitted {
	switch {
	case t.open:
		return AdmitsAll
	case len(t.workspaces) == 0:
		return AdmitsNone
	default:
		return AdmitsKeys
	}
}

// Upstream returns what the operator says of the upstream.
func (t *Table) Upstream(name string) (*Upstream, bool) {
	u, ok := t.upstreams[name]
	return u, ok
}

// Scaled are the upstreams whose replicas may be ordered, by name.
func (t *Table) Scaled() []*Upstream {
	var scaled []*Upstream
	for _, name := range slices.Sorted(maps.Keys(t.upstreams)) {
		if u := t.upstreams[name]; u.Scaling != nil {
			scaled = append(scaled, u)
		}
	}
	return scaled
}

// Rank orders the requests by urgency; 0 is the most urgent. The route's tier
// goes first and the workspace's decides among equals: a replica that must put
// a request back then never puts back one of a route of a higher tier, which is
// what callers are promised by class.
func (t *Table) Rank(r *Route, w *Workspace) int {
	if w == nil || !w.HasTier {
		return r.Tier * t.workspaceTiers
	}
	return r.Tier*t.workspaceTiers + w.Tier
}

// Ranks returns the number of ranks that requests for the upstream may have; zero if no route leads there.
func (t *Table) Ranks(upstream string) int { return t.routeTiers[upstream] * t.workspaceTiers }
