package logtrace

import (
	"bufio"
	"io"
	"slices"
	"time"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Trace collects what logs tell of one request.
type Trace struct {
	id string
	// around is how long before and after the request the events of its nodes
	// count that are about no request.
	around  time.Duration
	own     []Line
	process []Line
}

// New returns a trace of the request.
func New(id string, around time.Duration) *Trace { return &Trace{id: id, around: around} }

// Read takes in a log. Lines that are not events are skipped.
func (t *Trace) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		switch {
		case !ok:
		case line.Request == t.id:
			t.own = append(t.own, line)
		case line.Request == "":
			t.process = append(t.process, line)
		}
	}
	return scanner.Err()
}

// Lines are the request's events, and around them those of the processes that
// served it, in the order of time. It is empty where no log knows the request.
func (t *Trace) Lines() []Line {
	if len(t.own) == 0 {
		return nil
	}
	lines := slices.Clone(t.own)
	nodes := make(map[string]bool)
	first, last := t.own[0].At, t.own[0].At
	for _, l := range t.own {
		nodes[l.Node] = true
		if l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	for _, l := range t.process {
		if nodes[l.Node] && !l.At.Before(first.Add(-t.around)) && !l.At.After(last.Add(t.around)) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines
}
