package fairshare

import "time"

// Change is a workspace with calls at this node that got above its share of an upstream, or back within
// it.
type Change struct {
	Upstream, Workspace string
	Above               bool
	Share               float64
	// Cost is the workspace's, Capacity the cost that all nodes started, and Level the workspace's fair
	// part of it, all over about a window.
	Cost            Cost
	Capacity, Level float64
	// QueueExcess is by how much the mean queue exceeds that of an upstream with room, as a part of the
	// allowed queue time.
	QueueExcess float64
	// Workspaces is the number of workspaces with use, and Age that of the other nodes' reports.
	Workspaces int
	Age        time.Duration
}

// division is the inputs of a division.
type division struct {
	capacity, level, excess float64
	age                     time.Duration
}

// maxChanges is the largest number of changes reported for an upstream in a second.
const maxChanges = 4

// changeLimit bounds the reported changes.
type changeLimit struct {
	second int64
	count  int
}

func (l *changeLimit) admit(now time.Time) bool {
	if second := now.Unix(); second != l.second {
		l.second, l.count = second, 0
	}
	l.count++
	return l.count <= maxChanges
}

// costOf returns the cost of a workspace as of the last division.
func (u *upstream) costOf(id ID) Cost {
	for _, w := range u.scratch {
		if w.id == id {
			return w.cost
		}
	}
	return Cost{}
}

// reportChanges reports the workspaces with calls at this node that are above their share now or were
// before, but not both.
func (u *upstream) reportChanges(now time.Time, s *Sharing, before map[ID]Standing, d division) {
	if s.options.OnChange == nil {
		return
	}
	report := func(id ID, above bool, share float64) {
		if a, found := u.accounts[id]; found && u.changes.admit(now) {
			s.options.OnChange(Change{
				Upstream: u.name, Workspace: a.name, Above: above, Share: share, Cost: u.costOf(id),
				Capacity: d.capacity, Level: d.level, QueueExcess: d.excess, Workspaces: len(u.scratch), Age: d.age,
			})
		}
	}
	for id, standing := range u.above {
		if _, found := before[id]; !found {
			report(id, true, standing.Share)
		}
	}
	for id := range before {
		if _, found := u.above[id]; !found {
			report(id, false, 1)
		}
	}
}
