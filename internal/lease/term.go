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
	// idle is closed when the term has ended and no renewal is in flight.
	idle chan struct{}

	mu    sync.Mutex
	grant grant
}

// startTerm starts the renewal of a grant.
func startTerm(source *Source, g grant, observers []Observer) *Term {
	t := &Term{
		source:    source,
		observers: observers,
		lease:     g.lease,
		done:      make(chan struct{}),
		idle:      make(chan struct{}),
		grant:     g,
	}
	source.addTerm(t)
	t.notifyRenewed(g.sentAt)
	go t.renewLoop()
	return t
}

// Epoch returns the term's fencing token.
func (t *Term) Epoch() int64 { return t.lease.Epoch }

// Done is closed when the term has ended locally, Margin before the platform's
// lease can end, or after a pause as soon as this process runs again.
func (t *Term) Done() <-chan struct{} { return t.done }

// Held reports whether the term may be acted on at now. It is exact even while
// Done is still open directly after a pause.
func (t *Term) Held(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grant.endReason != "" {
		return false
	}
	if !t.grant.check(t.source.settings, now) {
		t.closeLocked()
		return false
	}
	return true
}

// EndReason returns why the term ended, or "" while it is in force.
func (t *Term) EndReason() EndReason {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grant.endReason
}

// Release ends the term locally and then at the platform, for a planned stop.
// It is safe to call after Done. After an error the lease expires by itself.
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
	if t.grant.endReason == "" {
		t.grant.finish(reason)
		t.closeLocked()
	}
}

// closeLocked publishes the end of the term, once. The caller holds t.mu.
func (t *Term) closeLocked() {
	t.source.removeTerm(t)
	t.source.metrics.ended.WithLabelValues(string(t.grant.endReason)).Inc()
	close(t.done)
}

type renewalResult struct {
	sentAt time.Time
	err    error
}

// renewLoop checks the clock and renews until the term ends. Checks go on
// while a renewal is in flight.
func (t *Term) renewLoop() {
	defer t.notifyLost()
	defer close(t.idle)
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan renewalResult, 1)
	renewing := false
	renewAt := t.grant.sentAt.Add(t.source.settings.RenewEvery)
	timer := time.NewTimer(t.untilCheck())
	defer timer.Stop()
	for {
		select {
		case <-t.done:
			cancel()
			if renewing {
				<-results
			}
			return
		case result := <-results:
			renewing = false
			renewAt = t.handleRenewal(result)
		case <-timer.C:
			now := t.source.now()
			if t.checkInForce(now) && !renewing && !now.Before(renewAt) {
				renewing = true
				go func() { results <- t.renew(ctx, now) }()
			}
			timer.Reset(t.untilCheck())
		}
	}
}

// untilCheck returns the time to the next check, never past the term's end.
func (t *Term) untilCheck() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.source.settings
	return min(s.checkInterval(), t.grant.remaining(s, t.source.now()))
}

// checkInForce reports whether the term is in force at now, and if so calls
// the observers.
func (t *Term) checkInForce(now time.Time) bool {
	if !t.Held(now) {
		return false
	}
	for _, o := range t.observers {
		o.Beat()
	}
	return true
}

func (t *Term) renew(ctx context.Context, sentAt time.Time) renewalResult {
	call, cancel := context.WithTimeout(ctx, t.source.settings.CallTimeout)
	defer cancel()
	_, err := t.source.store.Renew(call, t.lease)
	return renewalResult{sentAt: sentAt, err: err}
}

// handleRenewal records a renewal's result and returns when to send the next.
func (t *Term) handleRenewal(result renewalResult) time.Time {
	s := t.source.settings
	now := t.source.now()
	if !t.Held(now) {
		return now
	}
	if result.err == nil {
		t.mu.Lock()
		t.grant.extend(result.sentAt)
		t.mu.Unlock()
		t.notifyRenewed(result.sentAt)
		return result.sentAt.Add(s.RenewEvery)
	}
	t.source.metrics.failed.WithLabelValues(string(platform.CallRenew)).Inc()
	if isLost(result.err) {
		t.finish(EndTaken)
	}
	return now.Add(s.RetryEvery)
}

// isLost reports whether the platform answered that this process no longer
// holds the lease.
func isLost(err error) bool {
	var held *platform.HeldError
	return errors.As(err, &held) || errors.Is(err, platform.ErrNotFound)
}

func (t *Term) notifyRenewed(sentAt time.Time) {
	for _, o := range t.observers {
		o.Renewed(t.lease, sentAt)
	}
}

func (t *Term) notifyLost() {
	for _, o := range t.observers {
		o.Lost()
	}
}
