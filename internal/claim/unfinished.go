package claim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

const (
	phaseReleased = claimv1.Phase_PHASE_RELEASED
	phaseRecorded = claimv1.Phase_PHASE_RECORDED
	phaseUnknown  = claimv1.Phase_PHASE_UNKNOWN
)

// recorders is how many outcomes are recorded at once in the background.
const recorders = 16

// unfinished is the bounded queue of outcomes that wait to be recorded. It is
// soft state: an outcome that is lost leaves its claim in progress, which
// becomes unknown, so that the call still runs at most once.
type unfinished struct {
	bound int
	// added wakes the recorder for an outcome that is new to the queue.
	added chan struct{}

	mu      sync.Mutex
	waiting []FinishRequest
}

func newUnfinished(bound int) *unfinished {
	return &unfinished{bound: bound, added: make(chan struct{}, 1)}
}

// add returns false where the queue is full.
func (u *unfinished) add(request FinishRequest) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.waiting) >= u.bound {
		return false
	}
	u.waiting = append(u.waiting, request)
	return true
}

// take empties the queue.
func (u *unfinished) take() []FinishRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	taken := u.waiting
	u.waiting = nil
	return taken
}

func (u *unfinished) len() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.waiting)
}

// Finish implements Ledger.
func (n *Node) Finish(ctx context.Context, token Token, outcome Outcome) error {
	request := FinishRequest{Key: token.Key, Attempt: token.Attempt}
	switch outcome.Kind {
	case OutcomeRecorded:
		request.Phase = phaseRecorded
		request.Answer = boundedAnswer(outcome.Answer, n.options.Policy.MaxAnswerBytes)
	case OutcomeReleased:
		request.Phase = phaseReleased
	default:
		request.Phase = phaseUnknown
	}
	for {
		err := n.tryFinish(ctx, request)
		if err == nil {
			n.finished(request, finishDurable)
			return nil
		}
		if ctx.Err() != nil || !pause(ctx, n.options) {
			n.soon(request)
			return err
		}
	}
}

// later records the outcome in the background.
func (n *Node) later(request FinishRequest) {
	result := finishBackground
	if !n.unfinished.add(request) {
		result = finishDropped
	}
	n.finished(request, result)
	n.metrics.unfinished.Set(float64(n.unfinished.len()))
}

// soon records the outcome in the background without waiting for the next look.
func (n *Node) soon(request FinishRequest) {
	n.later(request)
	select {
	case n.unfinished.added <- struct{}{}:
	default:
	}
}

func (n *Node) finished(request FinishRequest, result string) {
	n.metrics.finishes.WithLabelValues(request.Phase.String(), result).Inc()
}

// recordUnfinished records outcomes until ctx ends, and tries what is left
// once more then.
func (n *Node) recordUnfinished(ctx context.Context) {
	for n.restUntilAdded(ctx) {
		n.recordOnce(ctx)
	}
	n.recordOnce(context.WithoutCancel(ctx))
}

// restUntilAdded waits for a new outcome or the next look at the old ones. It
// returns false when ctx ended.
func (n *Node) restUntilAdded(ctx context.Context) bool {
	timer := time.NewTimer(n.options.jitters.around(n.options.CheckInterval))
	defer timer.Stop()
	select {
	case <-n.unfinished.added:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (n *Node) recordOnce(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(recorders)
	for _, request := range n.unfinished.take() {
		group.Go(func() error {
			call, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
			defer cancel()
			if n.tryFinish(call, request) != nil {
				n.later(request)
				return nil
			}
			n.finished(request, finishDurable)
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
	n.metrics.unfinished.Set(float64(n.unfinished.len()))
}
