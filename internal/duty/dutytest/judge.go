package dutytest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"galenatrestle/internal/duty"
	"galenatrestle/internal/platform"
)

// Call is one call of a duty as it was carried out.
type Call struct {
	Holder  string
	Fence   int64
	Subject string
	At      time.Time
}

// Checker takes calls as the platform does, by their fences, and notes what must not be.
// It is safe for concurrent use.
type Checker struct {
	// Lease is the time within which two holders may not act in turns.
	Lease time.Duration

	mu      sync.Mutex
	highest map[string]int64
	holders map[int64]string
	calls   []Call
	reports map[int64]map[string]int64
	broken  []string
	// LatePart of the calls is carried out later, without an answer.
	latePart float64
	random   *rand.Rand
	waits    sync.WaitGroup
}

// NewChecker returns a judge.
func NewChecker(lease time.Duration, seed uint64) *Checker {
	return &Checker{
		Lease: lease, highest: make(map[string]int64), holders: make(map[int64]string),
		reports: make(map[int64]map[string]int64), random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetLateRate has a part of the calls carried out some seconds later, unanswered.
func (j *Checker) SetLateRate(part float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.latePart = part
}

// Wait waits until no call is outstanding.
func (j *Checker) Wait() { j.waits.Wait() }

// Handle takes a call on the subject; done is what it does, under the judge's lock.
func (j *Checker) Handle(term duty.Term, subject string, done func()) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.noteSender(term)
	if j.random.Float64() < j.latePart {
		after := time.Duration(j.random.Int64N(int64(lateFor)))
		j.waits.Go(func() {
			time.Sleep(after)
			j.mu.Lock()
			defer j.mu.Unlock()
			// Nobody hears of a late call's end.
			_ = j.carryOut(term, subject, done, false)
		})
		return platform.ErrUnavailable
	}
	return j.carryOut(term, subject, done, true)
}

// noteSender notes a fence that two holders send. The lock is held.
func (j *Checker) noteSender(term duty.Term) {
	if holder, known := j.holders[term.Fence]; known && holder != term.Holder {
		j.note("fence %d is sent by %s and %s", term.Fence, holder, term.Holder)
	}
	j.holders[term.Fence] = term.Holder
}

// carryOut does what the call asks, if its fence is not too low. The lock is held.
func (j *Checker) carryOut(term duty.Term, subject string, done func(), sentNow bool) error {
	if term.Fence < j.highest[subject] {
		return platform.ErrConflict
	}
	j.highest[subject] = term.Fence
	if sentNow {
		j.noteTurns(Call{Holder: term.Holder, Fence: term.Fence, Subject: subject, At: time.Now()})
	}
	done()
	return nil
}

// noteTurns notes holders that act in the order A, B, A within the lease. The lock is
// held.
func (j *Checker) noteTurns(c Call) {
	other := false
	for i := len(j.calls) - 1; i >= 0 && c.At.Sub(j.calls[i].At) < j.Lease; i-- {
		switch {
		case j.calls[i].Holder != c.Holder:
			other = true
		case other:
			j.note("%s, another and %s again within %s", c.Holder, c.Holder, j.Lease)
			other = false
		}
	}
	j.calls = append(j.calls, c)
}

// Report takes a report of usage of a window.
func (j *Checker) Report(term duty.Term, window int64, counts map[string]int64) error {
	// A late call brings what was sent, whatever the sender does with its map since.
	sent := maps.Clone(counts)
	return j.Handle(term, "usage", func() {
		if before, told := j.reports[window]; told && !maps.Equal(before, sent) {
			j.note("window %d is reported as %v and %v", window, before, sent)
			return
		}
		j.reports[window] = sent
	})
}

func (j *Checker) note(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

// Violations is what must not have been.
func (j *Checker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.broken
}

// Calls are the calls that were carried out when they were sent.
func (j *Checker) Calls() []Call {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Call(nil), j.calls...)
}

// Reports are the reports that were taken, by window.
func (j *Checker) Reports() map[int64]map[string]int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.reports)
}
