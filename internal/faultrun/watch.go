package faultrun

import (
	"context"
	"fmt"
	"time"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/node"
	"galenatrestle/internal/standin/fault"
)

// span is a time in which all nodes knew that an engine was leaving.
type span struct {
	engine   int
	from, to time.Time
}

// watcher looks at the nodes again and again.
type watcher struct {
	fleet *fleet
	// revisions holds the revision last seen at each node.
	revisions map[*node.Node]int64
	open      map[int]span
	spans     []span
	// known counts the times in which all nodes knew of an engine's leaving.
	known map[int]int
	// ownWord is when an engine last said itself that it is leaving.
	ownWord map[int]time.Time
}

func newWatcher(f *fleet) *watcher {
	return &watcher{
		fleet: f, revisions: make(map[*node.Node]int64),
		open: make(map[int]span), ownWord: make(map[int]time.Time), known: make(map[int]int),
	}
}

// run looks until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for ctxtime.Sleep(ctx, samplePause) == nil {
		w.look(time.Now())
	}
	for engine := range w.open {
		w.close(engine)
	}
}

func (w *watcher) look(now time.Time) {
	nodes, complete := w.fleet.current()
	for _, n := range nodes {
		w.lookAtRevision(n)
	}
	for engine := range w.fleet.deployment.Engines() {
		said := w.saysSo(engine, now)
		if said || !complete || !w.fleet.isListed(engine) || !allKnow(nodes, engine) {
			w.close(engine)
			continue
		}
		known, ok := w.open[engine]
		if !ok {
			known = span{engine: engine, from: now}
		}
		known.to = now
		w.open[engine] = known
	}
}

// saysSo says whether the engine itself says that it is leaving, or did so just
// before: nodes may know from that alone, and it takes its word back.
func (w *watcher) saysSo(engine int, now time.Time) bool {
	if _, on := w.fleet.deployment.Engine(engine).Faults().Get(fault.Leaving); on {
		w.ownWord[engine] = now
	}
	last, ever := w.ownWord[engine]
	return ever && now.Sub(last) < ownWordLasts
}

func (w *watcher) close(engine int) {
	known, ok := w.open[engine]
	if !ok {
		return
	}
	delete(w.open, engine)
	w.known[engine]++
	if known.to.Sub(known.from) > onTheWay {
		w.spans = append(w.spans, known)
	}
}

func (w *watcher) lookAtRevision(n *node.Node) {
	revision := n.ConfigRevision()
	if before := w.revisions[n]; revision < before {
		detail := fmt.Sprintf("%s went back from revision %d to %d", n.Name(), before, revision)
		w.fleet.broken(promiseConfiguration, detail)
	}
	w.revisions[n] = revision
}

func (f *fleet) isListed(engine int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed[engine]
}

// allKnow says whether all nodes give the engine nothing new.
func allKnow(nodes []*node.Node, engine int) bool {
	for _, n := range nodes {
		if !knows(n, engineName(engine)) {
			return false
		}
	}
	return true
}

func knows(n *node.Node, name string) bool {
	for _, replica := range n.Stats()[model].Replicas {
		if replica.Name == name {
			return replica.Leaving
		}
	}
	return false
}

// awaitRevision waits until the accepted revision is in force everywhere.
func (f *fleet) awaitRevision(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		late := f.behind()
		if late == "" {
			return
		}
		if ctxtime.Sleep(ctx, samplePause) != nil {
			f.broken(promiseConfiguration, late)
			return
		}
	}
}

// behind names a node that is below the accepted revision.
func (f *fleet) behind() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if got := n.ConfigRevision(); got < f.accepted {
			return fmt.Sprintf("%s is at revision %d after the last fault, %d was accepted", n.Name(), got, f.accepted)
		}
	}
	return ""
}
