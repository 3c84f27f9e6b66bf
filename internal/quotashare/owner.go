package quotashare

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner divides the quotas of the workspaces that this node owns. It is pure
// and not safe for concurrent use.
type Owner struct {
	settings Settings
	books    map[Key]*book
	// live is the sum of the serving members' names, changed when it last
	// changed: what was another's to own may be this node's since.
	live    uint64
	changed time.Time
}

// book is the owner's account of one workspace.
type book struct {
	opened  time.Time
	demands map[string]told
}

// NewOwner returns an owner that knows of no workspace.
func NewOwner(settings Settings) *Owner {
	return &Owner{settings: settings.withDefaults(), books: make(map[Key]*book)}
}

// Handle takes in a node's reports and returns the grants in their order. live
// holds the names of the serving members, in order.
func (o *Owner) Handle(now time.Time, node string, live []string, reports []Report) []Grant {
	o.watch(now, live)
	grants := make([]Grant, len(reports))
	for i, report := range reports {
		grants[i] = o.handle(now, node, live, report)
	}
	return grants
}

func (o *Owner) watch(now time.Time, live []string) {
	var sum xxhash.Digest
	for _, name := range live {
		_, _ = sum.WriteString(name)
		_, _ = sum.Write([]byte{0})
	}
	if sum.Sum64() == o.live {
		return
	}
	o.live, o.changed = sum.Sum64(), now
}

func (o *Owner) handle(now time.Time, node string, live []string, report Report) Grant {
	even := 1 / float64(max(len(live), 1))
	b := o.book(now, report)
	if b == nil {
		return Grant{Share: even}
	}
	if report.Demand <= 0 {
		delete(b.demands, node)
		return Grant{Share: even}
	}
	d := b.demands[node].next(now, report.Demand)
	b.demands[node] = d
	total := b.total(now, o.settings, live, node)
	grant := Grant{
		Share:     o.settings.Floor*even + (1-o.settings.Floor)*d.demand/total,
		Contended: total > contendedPart,
	}
	if o.settling(now, b) {
		grant = Grant{Share: min(grant.Share, even), Contended: true}
	}
	d.contended = grant.Contended
	b.demands[node] = d
	return grant
}

// settling says that the nodes may not have told this owner of their demands
// yet, as its books are newer than the last change of the members.
func (o *Owner) settling(now time.Time, b *book) bool {
	return now.Sub(o.changed) < settleTime && !b.opened.Before(o.changed)
}

// book returns the workspace's book, or nil where there is none to open.
func (o *Owner) book(now time.Time, report Report) *book {
	b := o.books[report.Key]
	if b != nil || report.Demand <= 0 || len(o.books) >= maxWorkspaces {
		return b
	}
	b = &book{opened: now, demands: make(map[string]told)}
	o.books[report.Key] = b
	return b
}

// total sums the demands that count: of the serving nodes, and of the one that
// asks in any case.
func (b *book) total(now time.Time, s Settings, live []string, asks string) float64 {
	sum := 0.0
	known := false
	for _, name := range live {
		known = known || name == asks
		if d, ok := b.demands[name]; ok && now.Sub(d.at) < d.lease(s) {
			sum += d.demand
		}
	}
	if !known {
		sum += b.demands[asks].demand
	}
	return sum
}

// Sweep drops what has expired.
func (o *Owner) Sweep(now time.Time) {
	for key, b := range o.books {
		for node, d := range b.demands {
			if now.Sub(d.at) >= d.lease(o.settings) {
				delete(b.demands, node)
			}
		}
		if len(b.demands) == 0 {
			delete(o.books, key)
		}
	}
}
