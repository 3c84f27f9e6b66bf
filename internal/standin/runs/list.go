package runs

import (
	"sync"
	"time"
)

// DefaultBound is the number of runs a List keeps unless told otherwise.
const DefaultBound = 10000

// List keeps the newest runs in a ring. It is safe for concurrent use.
type List struct {
	mu     sync.Mutex
	ring   []Run
	bound  int
	totals Totals
}

// NewList returns a list of at most bound runs; zero or less: DefaultBound.
func NewList(bound int) *List {
	if bound <= 0 {
		bound = DefaultBound
	}
	return &List{bound: bound}
}

// Begin records a run that starts now and returns its sequence.
func (l *List) Begin(run Run) int64 {
	run.Started = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Begun++
	run.Sequence = l.totals.Begun
	if len(l.ring) < l.bound {
		l.ring = append(l.ring, run)
	} else {
		l.ring[l.slot(run.Sequence)] = run
	}
	return run.Sequence
}

// FirstToken records that the run gave its first token now.
func (l *List) FirstToken(sequence int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run := l.findLocked(sequence); run != nil {
		run.FirstToken = time.Now()
	}
}

// End records how the run ended, now. Each run is ended once.
func (l *List) End(sequence int64, end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countLocked(end)
	run := l.findLocked(sequence)
	if run == nil {
		return
	}
	run.Ended = time.Now()
	run.Completed = end.Completed
	run.Cancelled = end.Cancelled
	run.Crashed = end.Crashed
	run.Tokens = end.Tokens
}

// Report returns a copy of the list and its totals.
func (l *List) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{Runs: make([]Run, 0, len(l.ring)), Totals: l.totals}
	report.Dropped = l.totals.Begun - int64(len(l.ring))
	for sequence := report.Dropped + 1; sequence <= l.totals.Begun; sequence++ {
		report.Runs = append(report.Runs, l.ring[l.slot(sequence)])
	}
	return report
}

func (l *List) slot(sequence int64) int {
	return int((sequence - 1) % int64(l.bound))
}

// findLocked returns the run, or nil once it was dropped.
func (l *List) findLocked(sequence int64) *Run {
	run := &l.ring[l.slot(sequence)]
	if run.Sequence != sequence {
		return nil
	}
	return run
}

func (l *List) countLocked(end End) {
	l.totals.Tokens += int64(end.Tokens)
	if end.Completed {
		l.totals.Completed++
	}
	if end.Cancelled {
		l.totals.Cancelled++
	}
	if end.Crashed {
		l.totals.Crashed++
	}
}
