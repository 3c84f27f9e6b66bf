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
	// bookKey is the store's key of the book.
	bookKey = "trestle/duties/usage"
	// lookEvery is how often the holder looks at what is due.
	lookEvery = 250 * time.Millisecond
	// gatherEvery is the time between two rounds of asking the nodes for their counts: a
	// node that loses power takes no older ones with it.
	gatherEvery = time.Second
	// saveEvery bounds the counts that are lost with the holder and a node at once.
	saveEvery = 2 * time.Second
	// settleFor is how long after a window's end its counts are waited for: a round of
	// asking begins after the slowest clock has left the window.
	settleFor = 1500 * time.Millisecond
	// waitPart is the part of the platform's delay for which the counts of nodes that do
	// not answer are waited for.
	waitPart = 0.6
	// callTimeout bounds one call of the store.
	callTimeout = 900 * time.Millisecond
	// keepDelays is for how many of the platform's delays an unsent window is kept beyond
	// the nodes' own counts.
	keepDelays = 4
)

// SourceCounts is what one source counted.
type SourceCounts struct {
	Source  string
	Windows map[int64]Counts
}

// ReporterOptions are what a Reporter works with.
type ReporterOptions struct {
	Store    duty.Store
	Platform Platform
	// Gather asks all nodes for their counts from the window on, and tells how many did
	// not answer.
	Gather func(ctx context.Context, first int64) (told []SourceCounts, silent int)
	// Length is that of a window, Delay the time after its end within which the
	// platform wants its report.
	Length, Delay time.Duration
	// Now is the fleet's time.
	Now     func() time.Time
	Clock   boottime.Clock
	Log     *eventlog.Log
	Metrics *Metrics
}

// Reporter is the duty of reporting usage. It implements duty.Work.
type Reporter struct{ options ReporterOptions }

// NewReporter returns a reporter.
func NewReporter(options ReporterOptions) *Reporter { return &Reporter{options: options} }

// Run implements duty.Work.
func (r *Reporter) Run(ctx context.Context, term duty.Term) {
	s := &session{options: r.options, term: term}
	for ctx.Err() == nil && !s.fenced {
		s.look(ctx)
		if ctxtime.Sleep(ctx, lookEvery) != nil {
			return
		}
	}
}

// session is the work of one term. It is for one goroutine.
type session struct {
	options ReporterOptions
	term    duty.Term
	book    *Book
	// revision is that of the book's key; zero: it is not in the store.
	revision int64
	// gatheredAt and savedAt are the starts of the last rounds; windows that ended before
	// complete have all their counts, or as many as there will be.
	gatheredAt, savedAt boottime.Instant
	complete            time.Time
	changed             bool
	// fenced: a later holder was seen, and this one sends nothing more.
	fenced bool
}

// look does what is due.
func (s *session) look(ctx context.Context) {
	if s.book == nil && !s.load(ctx) {
		return
	}
	now := s.options.Clock()
	if s.gatheredAt == 0 || now.Sub(s.gatheredAt) >= gatherEvery {
		s.gatheredAt = now
		s.gather(ctx)
	}
	fixed := s.book.Fix(s.complete)
	if fixed || s.changed && now.Sub(s.savedAt) >= saveEvery {
		s.savedAt = now
		if !s.save(ctx) {
			return
		}
	}
	s.send(ctx)
}

// load reads the book that the last holder left; it reports whether there is one now.
func (s *session) load(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.options.Store.Get(limited, bookKey)
	if errors.Is(err, platform.ErrNotFound) {
		s.book, s.revision = NewBook(s.options.Length, s.options.Now()), 0
		return true
	}
	if err != nil {
		s.failed("read usage", err)
		return false
	}
	book, err := decodeBook(entry.Value)
	if err != nil || book.Length != s.options.Length {
		// Another window length, or what nobody can read: nothing of it can be reported.
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
		return nil, fmt.Errorf("usage of %d bytes: %w", len(value), err)
	}
	book.fill()
	return book, nil
}

// gather takes in what the nodes counted.
func (s *session) gather(ctx context.Context) {
	began := s.options.Now()
	told, silent := s.options.Gather(ctx, s.book.Next)
	if ctx.Err() != nil {
		return
	}
	s.complete = began.Add(-settleFor)
	if silent > 0 {
		// One that is cut off may come back with its counts in time.
		s.complete = began.Add(-max(settleFor, time.Duration(waitPart*float64(s.options.Delay))))
	}
	for _, t := range told {
		if late := s.book.Merge(t.Source, t.Windows); late > 0 {
			s.options.Metrics.late.Add(float64(late))
			s.options.Log.Write(&countsLate{source: t.Source, requests: late, next: s.book.Next})
		}
	}
	s.changed = true
}

// save writes the book, unless another node holds the duty or has written. What is
// fixed is sent only after its writing was answered; where that is not known, the book
// is read again.
func (s *session) save(ctx context.Context) bool {
	value, err := json.Marshal(s.book)
	if err != nil {
		s.failed("encode usage", err)
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
		s.failed("write usage", err)
		return false
	}
	s.revision, s.changed = revision, false
	return true
}

// send sends the reports that are fixed, until one is not taken.
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

func (s *session) failed(step string, err error) {
	s.options.Log.Error(step, err)
}
