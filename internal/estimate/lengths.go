package estimate

import (
	"container/list"
	"time"
)

// maxLength is the longest answer told apart, in tokens. Without it one absurd
// length would use up a sketch's bins.
const maxLength = 1 << 17

// DefaultMaxSketches bounds the workspaces' sketches of one Lengths. A sketch
// takes about 1.5 KiB a generation, so that eight upstreams stay under 13 MiB.
const DefaultMaxSketches = 512

// Lengths estimates answers' lengths in tokens for one upstream, by class and
// workspace; where too few were seen by class, then over all. It is not safe
// for concurrent use.
type Lengths struct {
	maxSketches int
	all         *sketch
	classes     map[string]*sketch
	workspaces  map[key]*list.Element
	// recent lists the workspaces' sketches, the last used first.
	recent *list.List
}

type key struct {
	class     string
	workspace string
}

type workspaceSketch struct {
	key    key
	sketch *sketch
}

// NewLengths returns an empty estimator that keeps up to maxSketches sketches
// of a workspace in a class; zero takes DefaultMaxSketches.
func NewLengths(maxSketches int) *Lengths {
	if maxSketches <= 0 {
		maxSketches = DefaultMaxSketches
	}
	return &Lengths{
		maxSketches: maxSketches,
		classes:     make(map[string]*sketch),
		workspaces:  make(map[key]*list.Element),
		recent:      list.New(),
	}
}

// Observe takes in the length in tokens of an answer. Of one that was cut
// short, what came counts as well: without it long answers would be missing.
func (l *Lengths) Observe(now time.Time, class, workspace string, tokens int) {
	if tokens < 1 {
		return
	}
	length := float64(min(tokens, maxLength))
	if l.all == nil {
		l.all = newSketch(now)
	}
	l.all.add(now, length)
	l.class(now, class).add(now, length)
	l.workspace(now, key{class, workspace}).add(now, length)
}

func (l *Lengths) class(now time.Time, class string) *sketch {
	s, ok := l.classes[class]
	if !ok {
		s = newSketch(now)
		l.classes[class] = s
	}
	return s
}

// RetainClasses forgets the sketches of classes that are no longer known.
func (l *Lengths) RetainClasses(known func(class string) bool) {
	for class := range l.classes {
		if !known(class) {
			delete(l.classes, class)
		}
	}
}

func (l *Lengths) workspace(now time.Time, k key) *sketch {
	if element, ok := l.workspaces[k]; ok {
		l.recent.MoveToFront(element)
		return element.Value.(*workspaceSketch).sketch
	}
	if l.recent.Len() >= l.maxSketches {
		oldest := l.recent.Back()
		delete(l.workspaces, oldest.Value.(*workspaceSketch).key)
		l.recent.Remove(oldest)
	}
	w := &workspaceSketch{key: k, sketch: newSketch(now)}
	l.workspaces[k] = l.recent.PushFront(w)
	return w.sketch
}

// Quantile returns an estimate in tokens; quantile is Median, P75 or P90. It
// is false while too few answers were seen at all.
func (l *Lengths) Quantile(class, workspace string, quantile int) (float64, bool) {
	if element, ok := l.workspaces[key{class, workspace}]; ok {
		if s := element.Value.(*workspaceSketch).sketch; s.trusted() {
			return s.kept[quantile], true
		}
	}
	if s, ok := l.classes[class]; ok && s.trusted() {
		return s.kept[quantile], true
	}
	if l.all != nil && l.all.trusted() {
		return l.all.kept[quantile], true
	}
	return 0, false
}
