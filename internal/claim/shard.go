package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/refusal"
)

// shard is this node's state of one shard. The node holds the shard, has retained its
// ring from an earlier term, or has no state of it.
type shard struct {
	number       int
	options      Options
	metrics      *metrics
	writeLimiter *rate.Limiter
	wake         chan struct{}
	// flushLimiter delays writes smaller than Options.FlushBytes to batch changes.
	flushLimiter *rate.Limiter

	mu sync.Mutex
	// ring is nil if this node has no state of the shard.
	ring *ring
	// holding reports whether the ring accepts changes. If false, the ring is only used
	// for decisions from the last term.
	holding bool
	// term is the current or last term in which this node held the shard.
	term Term
	// writeStalled reports that the current write has failed at least stalledAfterTries
	// times.
	writeStalled bool
	// progress is closed and replaced whenever a waiter must check the shard again: a
	// change became durable, a write failed, or the shard was gained or lost.
	progress chan struct{}
	// warned reports that the fill warning has been logged and still applies.
	warned         bool
	lastCompaction time.Time
}

func newShard(number int, options Options, metrics *metrics) *shard {
	writesPerSecond := options.WritesPerSecond / float64(options.Policy.Shards)
	return &shard{
		number: number, options: options, metrics: metrics,
		writeLimiter: rate.NewLimiter(rate.Limit(writesPerSecond), writeBurst),
		wake:         make(chan struct{}, 1),

		flushLimiter: rate.NewLimiter(options.flushLimit(), flushBurst),
		progress:     make(chan struct{}),
	}
}

// begin runs a Begin on a shard that this node holds. errNotHolder guarantees that
// nothing changed, and comes with the decision from this node's last term, if any;
// after errUncertain the claim may have been made.
func (s *shard) begin(ctx context.Context, request BeginRequest, processEnded func(string, uuid.UUID) bool) (Decision, error) {
	now := time.Now()
	command := BeginCommand{
		Key: request.Key, CallFingerprint: request.CallFingerprint, Attempt: request.Attempt,
		Node: request.Node, Boot: request.Boot, Now: now, ProcessEnded: processEnded,
	}
	s.mu.Lock()
	if !s.holding {
		defer s.mu.Unlock()
		return s.decideFromLastTerm(command), errNotHolder
	}
	command.RefuseNew = s.refusalForNew(now)
	if request.KnownOnly {
		command.RefuseNew = refusal.QuotaExceeded
	}
	return s.run(ctx, request.Key, command, now)
}

func (s *shard) finish(ctx context.Context, request FinishRequest) error {
	now := time.Now()
	s.mu.Lock()
	if !s.holding {
		s.mu.Unlock()
		return errNotHolder
	}
	command := FinishCommand{
		Key: request.Key, Attempt: request.Attempt, Phase: request.Phase, Answer: request.Answer, Now: now,
	}
	if s.ring.dropsBodies() && command.Answer != nil {
		command.Answer = &claimv1.Answer{Status: command.Answer.GetStatus(), BodyDropped: true}
	}
	_, err := s.run(ctx, request.Key, command, now)
	return err
}

// run applies the command and waits until its change is durable. The caller holds the
// lock; run releases it.
func (s *shard) run(ctx context.Context, key Key, command Command, now time.Time) (Decision, error) {
	current := s.ring
	decision, changeNumber, err := current.apply(key, command, now)
	s.mu.Unlock()
	if err != nil {
		return Decision{}, errUncertain
	}
	if impliesNotRun(decision) && !s.stillHolds(current) {
		return Decision{}, errNotHolder
	}
	if changeNumber == 0 || decision.Refused != "" {
		return decision, nil
	}
	s.wakeWriter()
	otherAttempt := decision.Verdict != 0 && decision.Verdict != Run
	err = s.waitDurable(ctx, current, changeNumber, otherAttempt)
	if err == nil {
		return decision, nil
	}
	if err == errWriteStalled {
		return Decision{Verdict: InProgress}, nil
	}
	return Decision{}, err
}

// impliesNotRun reports whether the decision implies that no earlier request with the
// key has run. Only the current holder can know that.
func impliesNotRun(decision Decision) bool {
	switch decision.Refused {
	case refusal.ClaimStoreDown, refusal.ClaimLedgerFull, refusal.QuotaExceeded:
		return true
	}
	return false
}

// stillHolds reports whether the ring contains all claims of the shard as of now:
// another holder takes over only after this term has ended by the local clock.
func (s *shard) stillHolds(current *ring) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding && s.ring == current && s.term.Held(time.Now())
}

// decideFromLastTerm returns the decision from the last term in which this node held the
// shard: what was durable, and in progress for what was not. It is used only if no
// holder can be reached, as in a platform outage, and never returns Run.
func (s *shard) decideFromLastTerm(command BeginCommand) Decision {
	if s.ring == nil {
		return Decision{}
	}
	current, exists := s.ring.index[digestOf(command.Key)]
	if !exists {
		return Decision{}
	}
	state, err := s.ring.lookup(current, exists, command.Now)
	if err != nil {
		return Decision{}
	}
	command.RefuseNew = refusal.ClaimStoreDown
	_, decision := Apply(state, command)
	if decision.Verdict == Run || decision.Refused == refusal.ClaimStoreDown {
		return Decision{}
	}
	if decision.Verdict != 0 && s.ring.changeToAwait(current) != 0 {
		return Decision{Verdict: InProgress}
	}
	return decision
}

// refusalForNew returns the reason to refuse new claims; empty if they are accepted.
func (s *shard) refusalForNew(now time.Time) refusal.Reason {
	if s.writeStalled || len(s.ring.pending) >= s.options.MaxPending {
		return refusal.ClaimStoreDown
	}
	if s.ring.shouldCompact() && now.Sub(s.lastCompaction) >= compactInterval {
		s.lastCompaction = now
		s.ring.compact = true
		s.wakeWriter()
	}
	if s.ring.isFull() {
		return refusal.ClaimLedgerFull
	}
	return ""
}

// compactInterval is the minimum time between two compactions of a shard.
const compactInterval = time.Second

// waitDurable returns nil once the change is durable, otherwise errUncertain. For a
// change by another attempt it returns errWriteStalled as soon as the platform stops
// responding: that attempt may still run, so the call must not be reported as not-run.
func (s *shard) waitDurable(ctx context.Context, current *ring, changeNumber int64, otherAttempt bool) error {
	for {
		s.mu.Lock()
		durable := current.durableChange >= changeNumber
		lost := s.ring != current || !s.holding
		stalled := s.writeStalled && otherAttempt
		progress := s.progress
		s.mu.Unlock()
		if durable {
			return nil
		}
		if lost {
			return errUncertain
		}
		if stalled {
			return errWriteStalled
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return errUncertain
		}
	}
}

// warnIfFilling logs a warning when the fill reaches fillWarning. The caller holds the
// lock.
func (s *shard) warnIfFilling(fill float64) {
	if fill >= fillWarning && !s.warned {
		s.options.Log.WithFields(map[string]any{"shard": s.number, "fill": fill}).
			Warn("claim shard is filling up; increase its capacity or shorten the retention")
	}
	s.warned = fill >= fillWarning
}

func (s *shard) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// notifyWaiters wakes all waiters in waitDurable. The caller holds the lock.
func (s *shard) notifyWaiters() {
	close(s.progress)
	s.progress = make(chan struct{})
}
