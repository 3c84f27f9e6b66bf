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

// maxConcurrentRecords limits the outcomes recorded concurrently in the background.
const maxConcurrentRecords = 16

// outcomeQueue is a bounded queue of outcomes to record in the background. It is kept in
// memory only: if an outcome is lost, its claim becomes unknown, so the call still runs
// at most once.
type outcomeQueue struct {
	limit int
	// added wakes the recorder when an outcome is queued by queueOutcomeAndWake.
	added chan struct{}

	mu     sync.Mutex
	queued []FinishRequest
}

func newOutcomeQueue(limit int) *outcomeQueue {
	return &outcomeQueue{limit: limit, added: make(chan struct{}, 1)}
}

// add returns false if the queue is full.
func (q *outcomeQueue) add(request FinishRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queued) >= q.limit {
		return false
	}
	q.queued = append(q.queued, request)
	return true
}

func (q *outcomeQueue) drain() []FinishRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.queued
	q.queued = nil
	return taken
}

func (q *outcomeQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queued)
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
	for try := 0; ; try++ {
		err := n.tryFinish(ctx, request, n.options.callTimeout(try))
		if err == nil {
			n.countFinish(request, finishDurable)
			return nil
		}
		if ctx.Err() != nil || !pause(ctx, n.options) {
			n.queueOutcomeAndWake(request)
			return err
		}
	}
}

func (n *Node) queueOutcome(request FinishRequest) {
	result := finishBackground
	if !n.outcomes.add(request) {
		result = finishDropped
	}
	n.countFinish(request, result)
	n.metrics.unfinished.Set(float64(n.outcomes.len()))
}

// queueOutcomeAndWake queues the outcome and starts a round of recording immediately.
func (n *Node) queueOutcomeAndWake(request FinishRequest) {
	n.queueOutcome(request)
	select {
	case n.outcomes.added <- struct{}{}:
	default:
	}
}

func (n *Node) countFinish(request FinishRequest, result string) {
	n.metrics.finishes.WithLabelValues(request.Phase.String(), result).Inc()
}

// recordQueuedOutcomes records queued outcomes until ctx ends, and then tries the
// remaining ones once more.
func (n *Node) recordQueuedOutcomes(ctx context.Context) {
	for n.waitForOutcome(ctx) {
		n.recordQueueOnce(ctx)
	}
	n.recordQueueOnce(context.WithoutCancel(ctx))
}

// waitForOutcome waits for a new outcome or the next retry interval. It returns false if
// ctx ended.
func (n *Node) waitForOutcome(ctx context.Context) bool {
	timer := time.NewTimer(n.options.jitter.around(n.options.CheckInterval))
	defer timer.Stop()
	select {
	case <-n.outcomes.added:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (n *Node) recordQueueOnce(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentRecords)
	for _, request := range n.outcomes.drain() {
		group.Go(func() error {
			timeout := n.options.callTimeout(maxTimeoutDoublings)
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			if n.tryFinish(callCtx, request, timeout) != nil {
				n.queueOutcome(request)
				return nil
			}
			n.countFinish(request, finishDurable)
			return nil
		})
	}
	// The functions return no errors.
	_ = group.Wait()
	n.metrics.unfinished.Set(float64(n.outcomes.len()))
}
