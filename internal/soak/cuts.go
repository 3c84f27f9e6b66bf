package soak

import (
	"cmp"
	"os"
	"slices"
	"time"

	"galenatrestle/internal/soak/pathfault"
)

const (
	// cutStable is the time after the beginning of a cut from which calls count, cutLasts the
	// length of a cut.
	cutStable = 3 * time.Second
	cutLasts  = cutStable + 6*time.Second
	// At nodes that are cut off, first attempts may be served leastShare times as often as at
	// the others, and cutAllowance plus a part of cutFailed of all attempts may fail. Attempts are
	// compared with those for the same service in the same cutInterval: all nodes refuse most calls
	// while replicas ask for pauses, and one that is then stopped has no calls afterwards.
	leastShare   = 2.0 / 3
	cutAllowance = 10
	cutFailed    = 1.0 / 50
	cutInterval  = time.Second
)

// cut is a time in which some nodes reached no replica, while callers, the store and the other
// nodes reached them.
type cut struct {
	fault       pathfault.Fault
	entries     map[string]bool
	from, until time.Time
}

// cutNodes cuts nodes, never all of them, off from all replicas for the event's time.
func (w *world) cutNodes(e event) {
	w.cutting.Lock()
	defer w.cutting.Unlock()
	count := 1 + e.target%(len(w.nodes)-1)
	c := cut{
		fault: cmp.Or(e.fault, pathfault.Faults[e.target/len(w.nodes)%len(pathfault.Faults)]), entries: make(map[string]bool), from: time.Now(),
	}
	for i := range count {
		n := w.nodes[(e.target+i)%len(w.nodes)]
		c.entries[n.entry] = true
		defer w.disturbPaths(pathFault{entries: []string{n.entry}})()
		w.setPathFault(n, c.fault)
	}
	w.pauseThen(e.lasts, func() {
		c.until = time.Now()
		for _, n := range w.nodes {
			w.setPathFault(n, pathfault.None)
		}
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts = append(w.cuts, c)
}

// setPathFault replaces the node's fault file.
func (w *world) setPathFault(n *node, f pathfault.Fault) {
	next := n.pathFault() + ".new"
	err := os.WriteFile(next, []byte(f), 0o600)
	if err == nil {
		err = os.Rename(next, n.pathFault())
	}
	if err != nil {
		w.violate("fault file of %s: %v", n.name, err)
	}
}

// tally counts calls and those that were served.
type tally struct{ asked, served int }

func (t *tally) add(s *sent) { t.count(s.whole()) }

func (t *tally) count(served bool) {
	t.asked++
	if served {
		t.served++
	}
}

// with returns the tally with the call added.
func (t tally) with(s *sent) tally {
	t.add(s)
	return t
}

// share is the part of the calls that was served, zero without calls.
func (t tally) share() float64 {
	return float64(t.served) / float64(max(t.asked, 1))
}

// judgeCuts checks that callers of nodes that reached no replica were served like the others.
func (w *world) judgeCuts(calls []*sent) {
	for i := range w.cuts {
		w.judgeCut(&w.cuts[i], calls)
	}
}

func (w *world) judgeCut(c *cut, calls []*sent) {
	var cutOff, others tally
	cutOffIn, othersIn := make(map[cutSlot]tally), make(map[cutSlot]tally)
	from := c.from.Add(cutStable)
	for _, s := range calls {
		slot := cutSlot{interval: s.at.Sub(from) / cutInterval, service: serviceOf(s.path)}
		switch {
		case s.at.Before(from) || s.at.After(c.until) || w.isExcused(s):
		case !c.entries[s.entry]:
			others.add(s)
			othersIn[slot] = othersIn[slot].with(s)
		case w.hasHelper(c, s.at):
			cutOff.add(s)
			cutOffIn[slot] = cutOffIn[slot].with(s)
		}
	}
	// expected is how many would be served if the nodes that are cut off served like the others.
	expected := 0.0
	for slot, t := range cutOffIn {
		share := othersIn[slot].share()
		if othersIn[slot].asked == 0 {
			share = others.share()
		}
		expected += share * float64(t.asked)
	}
	failed := float64(cutOff.asked - cutOff.served)
	allowed := cutAllowance + cutFailed*float64(cutOff.asked+others.asked)
	if float64(cutOff.served) < leastShare*expected && failed > allowed {
		w.violate("nodes cut off from all replicas (%s) served %d of %d first attempts, the others' share at the same times would be %.0f; the others served %d of %d in all",
			c.fault, cutOff.served, cutOff.asked, expected, others.served, others.asked)
	}
}

// cutSlot is the calls for a service in an interval of a cut.
type cutSlot struct {
	interval time.Duration
	service  string
}

// hasHelper reports whether a node that reached replicas was undisturbed at the time: nodes that are cut
// off can serve nothing while all others are down.
func (w *world) hasHelper(c *cut, at time.Time) bool {
	return slices.ContainsFunc(w.nodes, func(n *node) bool {
		return !c.entries[n.entry] && !w.disturbedBetween(n.entry, at.Add(-cutStable), at)
	})
}

// isExcused reports whether the call need not be served, or its node's process was disturbed.
func (w *world) isExcused(s *sent) bool {
	return !w.isOwed(s) || w.disturbedBetween(s.entry, s.at.Add(-cutStable), s.at)
}
