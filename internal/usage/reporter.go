package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/duty"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/platform"
)

const (
	// bookKey is the key of the book in the store.
	bookKey = "trestle/duties/usage"
	// stepInterval is the time between two steps of the holder.
	stepInterval = 250 * time.Millisecond
	// gatherInterval is the time between two rounds of fetching counts from the nodes. A
	// node crash loses the counts since the last round.
	gatherInterval = time.Second
	// saveInterval is the minimum time between two writes; finalizing a window causes an
	// earlier one. It bounds the counts lost if the holder and another node crash
	// together.
	saveInterval = 2 * time.Second
	// settleTime is the time between a window's end and the round that completes it, to
	// allow for clock skew between nodes.
	settleTime = 1500 * time.Millisecond
	// maxWaitFraction is the fraction of the platform's delay to wait for the counts of
	// nodes that do not respond.
	maxWaitFraction = 0.6
	// callTimeout is the timeout of one call to the store.
	callTimeout = 900 * time.Millisecond
	// keepDelays is how long an open window is kept after the nodes drop their counts, as a
	// multiple of the platform's delay.
	keepDelays = 4
)

// SourceCounts has the counts of one source, a run of a node's process, by window, and the final
// sums that it was told.
type SourceCounts struct {
	Source    string
	Windows   map[int64]Counts
	FinalSums []FinalSums
}

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	Store    duty.Store
	Platform Platform
	// Gather returns the counts of all nodes that respond, for windows from first on, and
	// the number of nodes that did not respond.
	Gather func(ctx context.Context, first int64) (told []SourceCounts, silent int)
	// KeepFinalSums tells final sums to several nodes, from which Gather returns them later.
	KeepFinalSums func(ctx context.Context, sums []FinalSums)
	// Length is the length of a window; Delay is the time after its end within which the
	// platform expects its report.
	Length, Delay time.Duration
	// Now returns fleet time.
	Now     func() time.Time
	Clock   boottime.Clock
	Log     *eventlog.Log
	Metrics *Metrics
}

// Reporter reports usage while this node holds the duty. It implements duty.Task.
type Reporter struct{ options ReporterOptions }

// NewReporter returns a reporter.
func NewReporter(options ReporterOptions) *Reporter { return &Reporter{options: options} }

// Run implements duty.Task.
func (r *Reporter) Run(ctx context.Context, term duty.Term) {
	s := &session{options: r.options, term: term}
	for ctx.Err() == nil && !s.fenced {
		s.step(ctx)
		if ctxtime.Sleep(ctx, stepInterval) != nil {
			return
		}
	}
}

// session is the state of one term. It is not safe for concurrent use.
type session struct {
	options ReporterOptions
	term    duty.Term
	book    *Book
	// revision is the revision of the book's key, 0 if it is not in the store.
	revision int64
	// gatheredAt and savedAt are when the last gather and save began. Windows that ended
	// before completeBefore wait for no more counts.
	gatheredAt, savedAt boottime.Instant
	completeBefore      time.Time
	changed             bool
	// kept are the final sums that nodes were told by this or an earlier holder, by window.
	// The windows through toldThrough have been told in this term.
	kept        map[int64]FinalSums
	toldThrough int64
	// fenced is set after the platform rejected a report because of a later holder.
	fenced bool
}

// step gathers, finalizes, writes and sends whatever is due.
func (s *session) step(ctx context.Context) {
	if s.book == nil && !s.load(ctx) {
		return
	}
	now := s.options.Clock()
	if s.gatheredAt == 0 || now.Sub(s.gatheredAt) >= gatherInterval {
		s.gatheredAt = now
		s.gather(ctx)
	}
	fixed := s.book.Fix(s.completeBefore, s.kept)
	if fixed || s.changed && now.Sub(s.savedAt) >= saveInterval {
		s.savedAt = now
		if !s.save(ctx) {
			return
		}
	}
	s.tellFinalSums(ctx)
	s.send(ctx)
}

// tellFinalSums has other nodes keep the sums that are about to be sent: the store may come back
// from a copy that lacks them, and no other sums may be sent then.
func (s *session) tellFinalSums(ctx context.Context) {
	var list []FinalSums
	for _, report := range s.book.ToSend() {
		if report.Window > s.toldThrough {
			list = append(list, FinalSums{Window: report.Window, Counts: report.Requests, Fence: s.term.Fence})
		}
	}
	if len(list) == 0 {
		return
	}
	s.options.KeepFinalSums(ctx, list)
	s.toldThrough = list[len(list)-1].Window
}

// load reads the book from the store, or creates one, and reports whether it succeeded. The book
// may be older than the one before, so that all counts are gathered anew.
func (s *session) load(ctx context.Context) bool {
	s.gatheredAt, s.completeBefore = 0, time.Time{}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.options.Store.Get(limited, bookKey)
	if errors.Is(err, platform.ErrNotFound) {
		s.book, s.revision = NewBook(s.options.Length, s.options.Now()), 0
		return true
	}
	if err != nil {
		s.logError("read usage", err)
		return false
	}
	book, err := decodeBook(entry.Value)
	if err != nil || book.Length != s.options.Length {
		// A book with another window length or an invalid record can't be reported.
		s.options.Log.Error("decode usage", fmt.Errorf("book of revision %d is replaced: %w", entry.Revision, err))
		book = NewBook(s.options.Length, s.options.Now())
	}
	s.book, s.revision = book, entry.Revision
	keep := s.options.Length*keepWindows + keepDelays*s.options.Delay
	if skipped := book.Skip(s.options.Now().Add(-keep)); skipped > 0 {
		s.options.Log.Write(&windowsSkipped{windows: skipped})
	}
	return true
}

func decodeBook(value []byte) (*Book, error) {
	book := &Book{}
	if err := json.Unmarshal(value, book); err != nil {
		return nil, fmt.Errorf("unmarshal book of %d bytes: %w", len(value), err)
	}
	book.initMaps()
	return book, nil
}

// gather fetches the nodes' counts and merges them into the book.
func (s *session) gather(ctx context.Context) {
	began := s.options.Now()
	received, silent := s.options.Gather(ctx, s.book.Next)
	if ctx.Err() != nil {
		return
	}
	s.completeBefore = began.Add(-settleTime)
	if silent > 0 {
		// An unreachable node may become reachable again before the report is due.
		s.completeBefore = began.Add(-max(settleTime, time.Duration(maxWaitFraction*float64(s.options.Delay))))
	}
	s.kept = make(map[int64]FinalSums)
	for _, t := range received {
		for _, sums := range t.FinalSums {
			keepEarlier(s.kept, sums)
		}
		if late := s.book.Merge(t.Source, t.Windows); late > 0 {
			s.options.Metrics.late.Add(float64(late))
			s.options.Log.Write(&countsLate{source: t.Source, requests: late, next: s.book.Next})
		}
	}
	s.changed = true
}

// save writes the book, on condition that this node still holds the duty and nobody else
// has written the book. Fixed sums are sent only after a confirmed write; after an error
// the book is loaded again.
func (s *session) save(ctx context.Context) bool {
	value, err := json.Marshal(s.book)
	if err != nil {
		s.logError("encode usage", err)
		return false
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := s.options.Store.Commit(limited, platform.Transaction{
		Conditions: []platform.Condition{{Key: s.term.Key, Revision: s.term.Fence}, {Key: bookKey, Revision: s.revision}},
		Writes:     []platform.Write{{Key: bookKey, Value: value}},
	})
	if err != nil {
		s.book = nil
		s.logError("write usage", err)
		return false
	}
	s.revision, s.changed = revision, false
	return true
}

// send sends the fixed reports, oldest first, until one fails.
func (s *session) send(ctx context.Context) {
	for _, report := range s.book.ToSend() {
		if !s.term.Held() {
			return
		}
		err := s.options.Platform.Report(ctx, s.term, report)
		age := s.options.Now().Sub(End(report.Window, s.options.Length))
		s.options.Metrics.reported(err)
		s.options.Log.Write(&reported{report: report, fence: s.term.Fence, age: age, err: err})
		if errors.Is(err, platform.ErrConflict) {
			s.fenced = true
			return
		}
		if err != nil {
			return
		}
		s.book.Sent(report.Window)
		s.changed = true
	}
}

func (s *session) logError(step string, err error) {
	s.options.Log.Error(step, err)
}
