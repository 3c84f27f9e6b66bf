package estimate

import (
	"container/list"
	"time"
)

// maxLength caps observed lengths, in tokens, so that one extreme length cannot use up a
// sketch's bins.
const maxLength = 1 << 17

// DefaultMaxSketches bounds the workspace sketches of one Lengths. A sketch takes about 1.5
// KiB per generation, so eight upstreams stay under 13 MiB.
const DefaultMaxSketches = 512

// Lengths estimates the answer lengths of one upstream, in tokens, by workspace and class.
// Where a workspace has too few answers it falls back to the class, then to the whole
// upstream. It is not safe for concurrent use.
type Lengths struct {
	maxSketches int
	all         *sketch
	classes     map[string]*sketch
	workspaces  map[sketchKey]*list.Element
	// recent lists the workspace sketches, most recently used first.
	recent *list.List
}

type sketchKey struct {
	class     string
	workspace string
}

type workspaceSketch struct {
	key    sketchKey
	sketch *sketch
}

// NewLengths returns an empty estimator with up to maxSketches workspace sketches; zero means
// DefaultMaxSketches.
func NewLengths(maxSketches int) *Lengths {
	if maxSketches <= 0 {
		maxSketches = DefaultMaxSketches
	}
	return &Lengths{
		maxSketches: maxSketches,
		classes:     make(map[string]*sketch),
		workspaces:  make(map[sketchKey]*list.Element),
		recent:      list.New(),
	}
}

// Observe records the length of an answer in tokens. For an interrupted answer, the tokens
// received so far count as well: leaving these out would bias the estimate towards short
// answers.
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
	l.workspace(now, sketchKey{class, workspace}).add(now, length)
}

func (l *Lengths) class(now time.Time, class string) *sketch {
	s, ok := l.classes[class]
	if !ok {
		s = newSketch(now)
		l.classes[class] = s
	}
	return s
}

// RetainClasses drops the sketches of classes for which known returns false.
func (l *Lengths) RetainClasses(known func(class string) bool) {
	for class := range l.classes {
		if !known(class) {
			delete(l.classes, class)
		}
	}
}

func (l *Lengths) workspace(now time.Time, k sketchKey) *sketch {
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

// Quantile returns an estimated answer length in tokens; quantile is Median, P75 or P90. It
// returns false while the upstream has too few answers.
func (l *Lengths) Quantile(class, workspace string, quantile int) (float64, bool) {
	if element, ok := l.workspaces[sketchKey{class, workspace}]; ok {
		if s := element.Value.(*workspaceSketch).sketch; s.trusted() {
			return s.quantileValues[quantile], true
		}
	}
	if s, ok := l.classes[class]; ok && s.trusted() {
		return s.quantileValues[quantile], true
	}
	if l.all != nil && l.all.trusted() {
		return l.all.quantileValues[quantile], true
	}
	return 0, false
}
