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

// shard is one shard as this node sees it: held, or known from an earlier
// term, or neither.
type shard struct {
	number  int
	options Options
	metrics *metrics
	limiter *rate.Limiter
	wake    chan struct{}
	// gathering gives each write of few bytes its turn.
	gathering *rate.Limiter

	mu sync.Mutex
	// ring is nil where this node knows nothing of the shard.
	ring *ring
	// holding says that the ring takes changes; else it only answers what is
	// durable and final.
	holding bool
	// term is the one that this node holds or held the shard in.
	term Term
	// stuck says that the write under way has failed stuckTries times.
	stuck bool
	// progress is closed and replaced whenever something became durable or
	// the ring was dropped.
	progress chan struct{}
	// warned says that the fill is above the warning.
	warned bool
	// compacted is when a compaction was last asked for.
	compacted time.Time
}

func newShard(number int, options Options, metrics *metrics) *shard {
	perShard := options.WritesPerSecond / float64(options.Policy.Shards)
	return &shard{
		number: number, options: options, metrics: metrics,
		limiter: rate.NewLimiter(rate.Limit(perShard), writeBurst),
		wake:    make(chan struct{}, 1),

		gathering: rate.NewLimiter(options.gatherLimit(), gatherBurst),
		progress:  make(chan struct{}),
	}
}

// begin runs a Begin on the shard held here. errNotHolder is certain to have
// changed nothing, and comes with what is remembered; errUncertain is not.
func (s *shard) begin(ctx context.Context, request BeginRequest, gone func(string, uuid.UUID) bool) (Decision, error) {
	now := time.Now()
	command := BeginCommand{
		Key: request.Key, CallFingerprint: request.CallFingerprint, Attempt: request.Attempt,
		Node: request.Node, Boot: request.Boot, Now: now, ProcessEnded: gone,
	}
	s.mu.Lock()
	if !s.holding {
		defer s.mu.Unlock()
		return s.remembered(command), errNotHolder
	}
	command.RefuseNew = s.refusalForNew(now)
	if request.KnownOnly {
		command.RefuseNew = refusal.QuotaExceeded
	}
	return s.run(ctx, request.Key, command, now)
}

// finish runs a Finish on the shard held here.
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
	if s.ring.bodyFree() && command.Answer != nil {
		command.Answer = &claimv1.Answer{Status: command.Answer.GetStatus(), BodyDropped: true}
	}
	_, err := s.run(ctx, request.Key, command, now)
	return err
}

// run applies the command and waits until its change is durable. It is called
// with the lock held and gives it up.
func (s *shard) run(ctx context.Context, key Key, command Command, now time.Time) (Decision, error) {
	current := s.ring
	decision, number, err := current.apply(key, command, now)
	s.mu.Unlock()
	if err != nil {
		return Decision{}, errUncertain
	}
	if refusesNew(decision) && !s.heldNow(current) {
		return Decision{}, errNotHolder
	}
	if number == 0 || decision.Refused != "" {
		return decision, nil
	}
	s.signal()
	others := decision.Verdict != 0 && decision.Verdict != Run
	err = s.wait(ctx, current, number, others)
	if err == nil {
		return decision, nil
	}
	if err == errStuck {
		return Decision{Verdict: InProgress}, nil
	}
	return Decision{}, err
}

// refusesNew says whether the decision tells that no earlier request of the key
// has run, which only the shard's one holder knows.
func refusesNew(decision Decision) bool {
	switch decision.Refused {
	case refusal.ClaimStoreDown, refusal.ClaimLedgerFull, refusal.QuotaExceeded:
		return true
	}
	return false
}

// heldNow says that the ring knew all claims of the shard until now: another
// holder takes over only when the term is past by this one's clock.
func (s *shard) heldNow(current *ring) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding && s.ring == current && s.term.Held(time.Now())
}

// remembered answers what was known when the shard was last held here: what was
// durable, and in progress for what was not. It is told only where no holder
// can be asked, as in a platform outage, and gives no right to run.
func (s *shard) remembered(command BeginCommand) Decision {
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
	if decision.Verdict != 0 && s.ring.undurable(current) != 0 {
		return Decision{Verdict: InProgress}
	}
	return decision
}

// refusalForNew returns why no new claim may be made, or nothing.
func (s *shard) refusalForNew(now time.Time) refusal.Reason {
	if s.stuck || len(s.ring.pending) >= s.options.MaxPending {
		return refusal.ClaimStoreDown
	}
	if s.ring.crowded() && now.Sub(s.compacted) >= compactInterval {
		s.compacted = now
		s.ring.compact = true
		s.signal()
	}
	if s.ring.full() {
		return refusal.ClaimLedgerFull
	}
	return ""
}

// compactInterval is the least time between two compactions of a crowded shard.
const compactInterval = time.Second

// wait returns once the change is durable in the ring, else errUncertain. For
// another attempt's change it returns errStuck as soon as the platform does not
// answer: what that attempt did is under way, and not-run would be untrue.
func (s *shard) wait(ctx context.Context, current *ring, number int64, others bool) error {
	for {
		s.mu.Lock()
		durable := current.durable >= number
		dropped := s.ring != current || !s.holding
		stuck := s.stuck && others
		progress := s.progress
		s.mu.Unlock()
		if durable {
			return nil
		}
		if dropped {
			return errUncertain
		}
		if stuck {
			return errStuck
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return errUncertain
		}
	}
}

// warnOfFill logs when the fill comes to the warning. It is called with
// the lock held.
func (s *shard) warnOfFill(fill float64) {
	if fill >= fillWarning && !s.warned {
		s.options.Log.WithFields(map[string]any{"shard": s.number, "fill": fill}).
			Warn("claim shard is filling up: it needs more room or a shorter retention")
	}
	s.warned = fill >= fillWarning
}

// signal wakes the writer.
func (s *shard) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// advance tells all that wait to look again. It is called with the lock held.
func (s *shard) advance() {
	close(s.progress)
	s.progress = make(chan struct{})
}
