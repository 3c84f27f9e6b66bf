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

// Node is one node's ledger: it holds some of the shards and forwards the rest
// to their holders. It implements Ledger.
type Node struct {
	options      Options
	boot         uuid.UUID
	boots        *boots
	metrics      *metrics
	shards       []*shard
	shardHolders []*shardHolder
	unfinished   *unfinished
}

var _ Ledger = (*Node)(nil)

// NewNode returns a ledger that serves once Run runs.
func NewNode(options Options) (*Node, error) {
	options = options.withDefaults()
	boot, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("claim: boot id: %w", err)
	}
	n := &Node{
		options: options, boot: boot,
		boots:      newBoots(options.View),
		metrics:    newMetrics(options.Registerer),
		unfinished: newUnfinished(options.MaxQueuedOutcomes),
	}
	for number := range options.Policy.Shards {
		part := newShard(number, options, n.metrics)
		n.shards = append(n.shards, part)
		n.shardHolders = append(n.shardHolders, newShardHolder(part, options))
	}
	return n, nil
}

// Run holds shards and records outcomes until ctx ends. Then it writes what
// waits and hands its shards on.
func (n *Node) Run(ctx context.Context) error {
	tending, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	for _, shardHolder := range n.shardHolders {
		group.Go(func() error {
			shardHolder.run(tending)
			return nil
		})
	}
	n.recordUnfinished(ctx)
	stop()
	return group.Wait()
}

// Begin implements Ledger.
func (n *Node) Begin(ctx context.Context, key Key, content Fingerprint) (BeginResult, error) {
	grant, refused := n.begin(ctx, key, content)
	if refused != nil {
		n.metrics.refusals.WithLabelValues(string(refused.Reason)).Inc()
		return BeginResult{}, refused
	}
	n.metrics.verdicts.WithLabelValues(grant.Verdict.String()).Inc()
	return grant, nil
}

func (n *Node) begin(ctx context.Context, key Key, content Fingerprint) (BeginResult, *refusal.Error) {
	if refused := key.Check(); refused != nil {
		return BeginResult{}, refused
	}
	request := n.newRequest(key, content)
	within, cancel := context.WithTimeout(ctx, n.options.BeginTimeout)
	defer cancel()
	reply, err := n.settleBegin(within, request)
	if err != nil {
		return BeginResult{}, gaveUp(ctx, err)
	}
	if reply.Refused != "" {
		return BeginResult{}, refusedBy(reply.Refused, key)
	}
	grant := BeginResult{Verdict: reply.Verdict, Answer: reply.Answer}
	if reply.Verdict == Run {
		grant.Token = Token{Key: key, Attempt: request.Attempt}
	}
	return grant, nil
}

// newRequest is a request to claim the key for a new attempt of this process.
func (n *Node) newRequest(key Key, content Fingerprint) BeginRequest {
	return BeginRequest{
		Key: key, CallFingerprint: content, Attempt: uuid.New(),
		Node: processNode(n.options.View.Self()), Boot: n.boot,
	}
}

// settleBegin asks until the holder has answered or ctx ends. An attempt whose
// claim may have been made is released in the background: it sends nothing.
func (n *Node) settleBegin(ctx context.Context, request BeginRequest) (BeginReply, error) {
	uncertain := false
	var remembered BeginReply
	for {
		reply, err := n.tryBegin(ctx, request)
		if err == nil {
			return reply, nil
		}
		remembered = reply.orElse(remembered)
		uncertain = uncertain || !errors.Is(err, errNotHolder)
		if ctx.Err() == nil && pause(ctx, n.options) {
			continue
		}
		if uncertain && !request.KnownOnly {
			n.abandon(request)
		}
		if remembered.Verdict != 0 || remembered.Refused != "" {
			return remembered, nil
		}
		return BeginReply{}, err
	}
}

// abandon gives the attempt up for good.
func (n *Node) abandon(request BeginRequest) {
	n.metrics.abandoned.Inc()
	n.soon(FinishRequest{Key: request.Key, Attempt: request.Attempt, Phase: phaseReleased})
}

// gaveUp is the refusal of a claim that was not settled in time. This request
// was not sent, but no holder has said that no earlier one of its key was: its
// caller reads the answer for the call, so that it must be unknown.
func gaveUp(caller context.Context, cause error) *refusal.Error {
	if errors.Is(caller.Err(), context.Canceled) {
		refused := refusal.New(refusal.CallerGone, stepClaim, "the caller went away before the call was claimed")
		refused.Outcome, refused.Cause = refusal.Unknown, cause
		return refused
	}
	refused := refusal.New(refusal.ClaimStoreDown, stepClaim,
		"the call could not be claimed in time; it was not sent now, an earlier request with its key may have run")
	refused.Outcome, refused.Cause = refusal.Unknown, cause
	refused.RetryAfter = retryAfter
	return refused
}

// The pauses told to callers where the ledger is down and where it is full.
const (
	retryAfter     = time.Second
	fullRetryAfter = 30 * time.Second
)

// refusedBy is the refusal that the holder gave. It knows all claims of the
// shard: where it refuses a new one, no earlier request of the key has run.
func refusedBy(reason refusal.Reason, key Key) *refusal.Error {
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
	refused := refusal.New(refusal.ClaimStoreDown, stepClaim, "the platform does not take claims now")
	refused.RetryAfter = retryAfter
	return refused
}
