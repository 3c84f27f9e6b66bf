package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
)

// Term is one grant of a lease, renewed until it ends. It is safe for
// concurrent use.
type Term struct {
	source    *Source
	observers []Observer
	lease     platform.Lease
	done      chan struct{}
	// idle is closed when no call is under way any more.
	idle chan struct{}

	mu    sync.Mutex
	grant grant
}

// startTerm begins to renew a grant.
func startTerm(source *Source, g grant, observers []Observer) *Term {
	t := &Term{
		source:    source,
		observers: observers,
		lease:     g.lease,
		done:      make(chan struct{}),
		idle:      make(chan struct{}),
		grant:     g,
	}
	source.opened(t)
	t.tellRenewed(g.asked)
	go t.keep()
	return t
}

// Epoch returns the fencing number of what is done in this term.
func (t *Term) Epoch() int64 { return t.lease.Epoch }

// Done is closed when the term has ended here, Margin before the platform's
// lease can end; after a pause, as soon as this process runs again.
func (t *Term) Done() <-chan struct{} { return t.done }

// Held tells whether the term may be acted on at now. It is exact also where
// Done is not yet closed, as directly after a pause.
func (t *Term) Held(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grant.end != "" {
		return false
	}
	if !t.grant.look(t.source.settings, now) {
		t.closed()
		return false
	}
	return true
}

// EndReason tells why the term ended, or is empty.
func (t *Term) EndReason() EndReason {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grant.end
}

// Release ends the term here and then at the platform, for a planned stop. It
// is safe to call after Done; an error means that the lease runs out by itself.
func (t *Term) Release(ctx context.Context) error {
	t.finish(EndReleased)
	<-t.idle
	call, cancel := context.WithTimeout(ctx, t.source.settings.CallTimeout)
	defer cancel()
	err := t.source.store.Release(call, t.lease)
	if err != nil {
		t.source.metrics.failed.WithLabelValues(string(platform.CallRelease)).Inc()
	}
	return errs.Wrap(errs.Platform, err, "release lease", t.lease.Name)
}

// finish ends the term, unless it has ended.
func (t *Term) finish(reason EndReason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grant.end == "" {
		t.grant.finish(reason)
		t.closed()
	}
}

// closed tells the end once; t.mu is held.
func (t *Term) closed() {
	t.source.forget(t)
	t.source.metrics.ended.WithLabelValues(string(t.grant.end)).Inc()
	close(t.done)
}

// answer is the outcome of a renewal.
type answer struct {
	asked time.Time
	err   error
}

// keep looks at the clock and renews until the term ends. The looks go on
// while a renewal is under way.
func (t *Term) keep() {
	defer t.tellLost()
	defer close(t.idle)
	ctx, cancel := context.WithCancel(context.Background())
	answers := make(chan answer, 1)
	renewing := false
	renewAt := t.grant.asked.Add(t.source.settings.RenewEvery)
	timer := time.NewTimer(t.untilLook())
	defer timer.Stop()
	for {
		select {
		case <-t.done:
			cancel()
			if renewing {
				<-answers
			}
			return
		case got := <-answers:
			renewing = false
			renewAt = t.answered(got)
		case <-timer.C:
			now := t.source.now()
			if t.beat(now) && !renewing && !now.Before(renewAt) {
				renewing = true
				go func() { answers <- t.renew(ctx, now) }()
			}
			timer.Reset(t.untilLook())
		}
	}
}

// untilLook is the time to the next look: never past the term's end.
func (t *Term) untilLook() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.source.settings
	return min(s.lookEvery(), t.grant.left(s, t.source.now()))
}

// beat looks at the clock and tells whether the term is in force.
func (t *Term) beat(now time.Time) bool {
	if !t.Held(now) {
		return false
	}
	for _, o := range t.observers {
		o.Beat()
	}
	return true
}

// renew sends one renewal.
func (t *Term) renew(ctx context.Context, asked time.Time) answer {
	call, cancel := context.WithTimeout(ctx, t.source.settings.CallTimeout)
	defer cancel()
	_, err := t.source.store.Renew(call, t.lease)
	return answer{asked: asked, err: err}
}

// answered notes a renewal's answer and returns when to send the next one.
func (t *Term) answered(got answer) time.Time {
	s := t.source.settings
	now := t.source.now()
	if !t.Held(now) {
		return now
	}
	if got.err == nil {
		t.mu.Lock()
		t.grant.renewed(got.asked)
		t.mu.Unlock()
		t.tellRenewed(got.asked)
		return got.asked.Add(s.RenewEvery)
	}
	t.source.metrics.failed.WithLabelValues(string(platform.CallRenew)).Inc()
	if isLost(got.err) {
		t.finish(EndTaken)
	}
	return now.Add(s.RetryEvery)
}

// isLost tells whether the platform said that the lease is not ours any more.
func isLost(err error) bool {
	var held *platform.HeldError
	return errors.As(err, &held) || errors.Is(err, platform.ErrNotFound)
}

// tellRenewed tells the observers of a grant or renewal.
func (t *Term) tellRenewed(asked time.Time) {
	for _, o := range t.observers {
		o.Renewed(t.lease, asked)
	}
}

// tellLost tells the observers of the end.
func (t *Term) tellLost() {
	for _, o := range t.observers {
		o.Lost()
	}
}
