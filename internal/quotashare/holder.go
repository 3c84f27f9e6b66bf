package quotashare

import (
	"cmp"
	"slices"
	"time"
)

// Holder decides what a node reports and which shares it may use. It is pure
// and not safe for concurrent use.
type Holder struct {
	node     string
	settings Settings
	held     map[Key]*holding
	pace     pace
}

// NewHolder returns a holder of no shares.
func NewHolder(node string, settings Settings) *Holder {
	settings = settings.withDefaults()
	return &Holder{
		node: node, settings: settings,
		held: make(map[Key]*holding),
		pace: pace{rate: settings.BytesPerSecond},
	}
}

// Plan takes in the present needs and returns the reports to send now, by
// owner: the most overdue first, as far as the node's bytes go. nodes is the
// number of serving members. Owners in busy have a call under way and are left
// out.
func (h *Holder) Plan(now time.Time, nodes int, needs []Need, busy map[string]bool) map[string][]Report {
	even := evenPart(nodes)
	h.takeIn(now, needs)
	plan := make(map[string][]Report)
	for _, m := range h.messages(now, even, busy) {
		if m.owner != h.node && !h.pace.ready(now) {
			continue
		}
		if m.owner != h.node {
			h.pace.spend(len(m.holdings))
		}
		plan[m.owner] = h.report(now, even, m.holdings)
	}
	return plan
}

func evenPart(nodes int) float64 { return 1 / float64(max(nodes, 1)) }

// takeIn notes the present demands; what is not named has none.
func (h *Holder) takeIn(now time.Time, needs []Need) {
	for _, held := range h.held {
		held.demand = 0
	}
	for _, need := range needs {
		key := KeyOf(need.Workspace)
		held := h.held[key]
		if held == nil {
			held = &holding{workspace: need.Workspace, key: key, owner: need.Owner, since: now}
			h.held[key] = held
		}
		held.demand = need.Demand
		if held.owner != need.Owner {
			held.moveTo(now, need.Owner, h.settings.Grace)
		}
	}
	for key, held := range h.held {
		if held.demand == 0 && held.asked.IsZero() && !now.Before(held.expires) {
			delete(h.held, key)
		}
	}
}

// message is what one owner is to be told.
type message struct {
	owner    string
	overdue  float64
	holdings []*holding
}

// messages returns what is due, the most overdue first.
func (h *Holder) messages(now time.Time, even float64, busy map[string]bool) []*message {
	byOwner := make(map[string]*message)
	for _, held := range h.held {
		overdue := held.overdue(now, h.settings, even)
		if overdue < 1 || busy[held.owner] {
			continue
		}
		m := byOwner[held.owner]
		if m == nil {
			m = &message{owner: held.owner}
			byOwner[held.owner] = m
		}
		m.overdue = max(m.overdue, overdue)
		m.holdings = append(m.holdings, held)
	}
	messages := make([]*message, 0, len(byOwner))
	for _, m := range byOwner {
		messages = append(messages, m)
	}
	slices.SortFunc(messages, func(a, b *message) int {
		return cmp.Or(cmp.Compare(b.overdue, a.overdue), cmp.Compare(a.owner, b.owner))
	})
	return messages
}

// report turns holdings into reports, in the order of their keys.
func (h *Holder) report(now time.Time, even float64, holdings []*holding) []Report {
	slices.SortFunc(holdings, func(a, b *holding) int { return cmp.Compare(a.key, b.key) })
	holdings = holdings[:min(len(holdings), maxReports)]
	reports := make([]Report, len(holdings))
	for i, held := range holdings {
		held.asked = now
		held.reported = held.toReport(h.settings, even)
		reports[i] = Report{Key: held.key, Demand: held.reported}
	}
	return reports
}

// Apply takes in an owner's answer to the reports.
func (h *Holder) Apply(now time.Time, owner string, reports []Report, grants []Grant) {
	for i, report := range reports {
		held := h.held[report.Key]
		if held == nil || held.owner != owner || i >= len(grants) {
			continue
		}
		held.failed = false
		held.share = grants[i].Share
		held.contended = grants[i].Contended
		held.expires = now.Add(h.settings.LeaseTime)
		if report.Demand == 0 {
			held.asked, held.since, held.expires = time.Time{}, now, time.Time{}
		}
	}
}

// Fail notes that the reports got no answer: the shares last for the grace.
func (h *Holder) Fail(now time.Time, owner string, reports []Report) {
	for _, report := range reports {
		if held := h.held[report.Key]; held != nil && held.owner == owner {
			held.failed = true
			held.shorten(now.Add(h.settings.Grace))
		}
	}
}

// Shares calls use with each granted share in force.
func (h *Holder) Shares(now time.Time, use func(workspace string, share float64)) {
	for _, held := range h.held {
		if now.Before(held.expires) {
			use(held.workspace, held.share)
		}
	}
}

// Held returns the number of workspaces that the holder keeps.
func (h *Holder) Held() int { return len(h.held) }
