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

// Call is a call that was applied.
type Call struct {
	Holder  string
	Fence   int64
	Subject string
	At      time.Time
}

// Checker applies calls subject to their fencing tokens, as the platform does, and
// records violations of the duties' guarantees. It is safe for concurrent use.
type Checker struct {
	// Lease is the time within which two holders may not act alternately.
	Lease time.Duration

	mu         sync.Mutex
	highest    map[string]int64
	holders    map[int64]string
	calls      []Call
	reports    map[int64]map[string]int64
	violations []string
	// lateRate is the share of calls that are applied late and get no answer.
	lateRate float64
	random   *rand.Rand
	waits    sync.WaitGroup
}

// NewChecker returns a checker without late calls.
func NewChecker(lease time.Duration, seed uint64) *Checker {
	return &Checker{
		Lease: lease, highest: make(map[string]int64), holders: make(map[int64]string),
		reports: make(map[int64]map[string]int64), random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetLateRate sets the share of calls, from 0 to 1, that are applied some seconds late and
// get no answer.
func (j *Checker) SetLateRate(part float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lateRate = part
}

// Wait waits until all late calls are applied.
func (j *Checker) Wait() { j.waits.Wait() }

// Handle applies a call on the subject by calling done, with the checker's lock held.
func (j *Checker) Handle(term duty.Term, subject string, done func()) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkSender(term)
	if j.random.Float64() < j.lateRate {
		after := time.Duration(j.random.Int64N(int64(lateFor)))
		j.waits.Go(func() {
			time.Sleep(after)
			j.mu.Lock()
			defer j.mu.Unlock()
			// No one waits for the result of a late call.
			_ = j.apply(term, subject, done, false)
		})
		return platform.ErrUnavailable
	}
	return j.apply(term, subject, done, true)
}

// checkSender records a violation if two holders use one fencing token. The caller holds
// j.mu.
func (j *Checker) checkSender(term duty.Term) {
	if holder, known := j.holders[term.Fence]; known && holder != term.Holder {
		j.violation("fencing token %d was used by %s and by %s", term.Fence, holder, term.Holder)
	}
	j.holders[term.Fence] = term.Holder
}

// apply runs the call unless its fencing token is too low. The caller holds j.mu.
func (j *Checker) apply(term duty.Term, subject string, done func(), sentNow bool) error {
	if term.Fence < j.highest[subject] {
		return platform.ErrConflict
	}
	j.highest[subject] = term.Fence
	if sentNow {
		j.checkAlternation(Call{Holder: term.Holder, Fence: term.Fence, Subject: subject, At: time.Now()})
	}
	done()
	return nil
}

// checkAlternation records a violation if holders act in the order A, B, A within Lease.
// The caller holds j.mu.
func (j *Checker) checkAlternation(c Call) {
	other := false
	for i := len(j.calls) - 1; i >= 0 && c.At.Sub(j.calls[i].At) < j.Lease; i-- {
		switch {
		case j.calls[i].Holder != c.Holder:
			other = true
		case other:
			j.violation("calls by %s, another holder and %s again within %s", c.Holder, c.Holder, j.Lease)
			other = false
		}
	}
	j.calls = append(j.calls, c)
}

// Report applies a usage report for a window.
func (j *Checker) Report(term duty.Term, window int64, counts map[string]int64) error {
	// A late call must apply what was sent, even if the caller changes its map.
	sent := maps.Clone(counts)
	return j.Handle(term, "usage", func() {
		if before, told := j.reports[window]; told && !maps.Equal(before, sent) {
			j.violation("window %d was reported as %v and then as %v", window, before, sent)
			return
		}
		j.reports[window] = sent
	})
}

func (j *Checker) violation(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violations seen so far.
func (j *Checker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.violations
}

// Calls returns the calls that were applied without delay.
func (j *Checker) Calls() []Call {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Call(nil), j.calls...)
}

// Reports returns the usage reports that were applied, by window.
func (j *Checker) Reports() map[int64]map[string]int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.reports)
}
