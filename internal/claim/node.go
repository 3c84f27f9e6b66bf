package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"galenatrestle/internal/refusal"
)

// Node is the ledger of one node: it holds some of the shards and forwards requests for
// the others to their holders. It implements Ledger.
type Node struct {
	options       Options
	boot          uuid.UUID
	boots         *bootTracker
	metrics       *metrics
	shards        []*shard
	leaseManagers []*leaseManager
	outcomes      *outcomeQueue
}

var _ Ledger = (*Node)(nil)

// NewNode returns a ledger that serves requests while Run runs.
func NewNode(options Options) (*Node, error) {
	options = options.withDefaults()
	boot, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("claim: generate boot ID: %w", err)
	}
	n := &Node{
		options: options, boot: boot,
		boots:    newBootTracker(options.View),
		metrics:  newMetrics(options.Registerer),
		outcomes: newOutcomeQueue(options.MaxQueuedOutcomes),
	}
	for number := range options.Policy.Shards {
		localShard := newShard(number, options, n.metrics)
		n.shards = append(n.shards, localShard)
		n.leaseManagers = append(n.leaseManagers, newLeaseManager(localShard, options))
	}
	return n, nil
}

// Run holds shards and records outcomes until ctx ends. It then writes pending changes
// and releases its shards.
func (n *Node) Run(ctx context.Context) error {
	holdCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	for _, manager := range n.leaseManagers {
		group.Go(func() error {
			manager.run(holdCtx)
			return nil
		})
	}
	n.recordQueuedOutcomes(ctx)
	stop()
	return group.Wait()
}

// Begin implements Ledger.
func (n *Node) Begin(ctx context.Context, key Key, content Fingerprint) (BeginResult, error) {
	result, refused := n.begin(ctx, key, content)
	if refused != nil {
		n.metrics.refusals.WithLabelValues(string(refused.Reason)).Inc()
		return BeginResult{}, refused
	}
	n.metrics.verdicts.WithLabelValues(result.Verdict.String()).Inc()
	return result, nil
}

func (n *Node) begin(ctx context.Context, key Key, content Fingerprint) (BeginResult, *refusal.Error) {
	if refused := key.Check(); refused != nil {
		return BeginResult{}, refused
	}
	request := n.newRequest(key, content)
	beginCtx, cancel := n.boundBegin(ctx)
	defer cancel()
	reply, err := n.retryBegin(beginCtx, request)
	if err != nil {
		return BeginResult{}, undecidedRefusal(ctx, err)
	}
	if reply.Refused != "" {
		return BeginResult{}, holderRefusal(reply.Refused, key)
	}
	result := BeginResult{Verdict: reply.Verdict, Answer: reply.Answer}
	if reply.Verdict == Run {
		result.Token = Token{Key: key, Attempt: request.Attempt}
	}
	return result, nil
}

// boundBegin applies BeginTimeout to a context without a deadline.
func (n *Node) boundBegin(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, n.options.BeginTimeout)
}

func (n *Node) newRequest(key Key, content Fingerprint) BeginRequest {
	return BeginRequest{
		Key: key, CallFingerprint: content, Attempt: uuid.New(),
		Node: claimNodeName(n.options.View.Self()), Boot: n.boot,
	}
}

// retryBegin retries until a holder responds or ctx ends. If the claim may have been
// made by then, it is released in the background, since the attempt sends nothing.
func (n *Node) retryBegin(ctx context.Context, request BeginRequest) (BeginReply, error) {
	uncertain := false
	var lastTermReply BeginReply
	for try := 0; ; try++ {
		reply, err := n.tryBegin(ctx, request, n.options.callTimeout(try))
		if err == nil {
			return reply, nil
		}
		lastTermReply = reply.orElse(lastTermReply)
		uncertain = uncertain || !errors.Is(err, errNotHolder)
		if ctx.Err() == nil && pause(ctx, n.options) {
			continue
		}
		if uncertain && !request.KnownOnly {
			n.abandon(request)
		}
		if lastTermReply.Verdict != 0 || lastTermReply.Refused != "" {
			return lastTermReply, nil
		}
		return BeginReply{}, err
	}
}

// abandon releases the claim that the attempt may have made.
func (n *Node) abandon(request BeginRequest) {
	n.metrics.abandoned.Inc()
	n.queueOutcomeAndWake(FinishRequest{Key: request.Key, Attempt: request.Attempt, Phase: phaseReleased})
}

// undecidedRefusal returns the refusal for a claim that was not decided in time. This
// request was not sent, but an earlier one with the same key may have run, so the
// outcome is unknown.
func undecidedRefusal(callerCtx context.Context, cause error) *refusal.Error {
	if errors.Is(callerCtx.Err(), context.Canceled) {
		refused := refusal.New(refusal.CallerGone, stepClaim, "the caller disconnected before the call was claimed")
		refused.Outcome, refused.Cause = refusal.Unknown, cause
		return refused
	}
	refused := refusal.New(refusal.ClaimStoreDown, stepClaim,
		"the call could not be claimed in time and was not sent; an earlier request with its key may have run")
	refused.Outcome, refused.Cause = refusal.Unknown, cause
	refused.RetryAfter = unavailableRetryAfter
	return refused
}

// Retry delays for callers when the ledger is unavailable and when it is full.
const (
	unavailableRetryAfter = time.Second
	fullRetryAfter        = 30 * time.Second
)

// holderRefusal returns the refusal for a reason given by the holder. The holder knows
// all claims of the shard: if it refuses a new one, no earlier request with the key has
// run.
func holderRefusal(reason refusal.Reason, key Key) *refusal.Error {
	switch reason {
	case refusal.IdempotencyKeyReused:
		refused := refusal.New(reason, stepClaim, "the key was used with another method, path or body")
		refused.Field, refused.Value = "Idempotency-Key", key.IdempotencyKey
		return refused
	case refusal.ClaimLedgerFull:
		refused := refusal.New(reason, stepClaim, "the ledger of unrepeatable calls is full")
		refused.RetryAfter = fullRetryAfter
		return refused
	}
	refused := refusal.New(refusal.ClaimStoreDown, stepClaim, "the platform does not accept claims at present")
	refused.RetryAfter = unavailableRetryAfter
	return refused
}
