package claim

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/membership"
)

// shardHolder decides for one shard whether this node tries to hold it, and knows
// who holds it else. What it knows is soft state: the lease decides.
type shardHolder struct {
	part    *shard
	options Options
	name    string
	asked   chan struct{}

	mu sync.Mutex
	// hint is the newest that is known of the holder.
	hint Hint
}

// handOnAfter is how many looks in a row must find another preferred holder
// before a held shard is handed on.
const handOnAfter = 5

func newShardHolder(part *shard, options Options) *shardHolder {
	return &shardHolder{part: part, options: options, name: shardPrefix(part.number), asked: make(chan struct{}, 1)}
}

// run holds the shard whenever this node is its preferred holder, or was asked
// as the preferred one did not answer, and the lease is free.
func (t *shardHolder) run(ctx context.Context) {
	wanted := false
	for {
		if wanted || t.preferred() {
			t.tryHold(ctx)
		}
		var live bool
		wanted, live = t.rest(ctx)
		if !live {
			return
		}
	}
}

// rest waits for the next look. An ask shortens the wait to a quarter, so that
// a busy node without a holder does not use up the platform's rate.
func (t *shardHolder) rest(ctx context.Context) (wanted, live bool) {
	short := t.options.jitters.around(t.options.CheckInterval / 4)
	if ctxtime.Sleep(ctx, short) != nil {
		return false, false
	}
	timer := time.NewTimer(t.options.jitters.around(t.interval()))
	defer timer.Stop()
	select {
	case <-t.asked:
		return true, true
	case <-timer.C:
		return false, true
	case <-ctx.Done():
		return false, false
	}
}

// elsewhereRest is how many intervals pass between looks at a shard that is
// held in another region, so that the regions' preferred holders together cost
// the platform little. A holder that does not answer is noticed by those who ask.
const elsewhereRest = 10

// interval returns the mean pause between two looks.
func (t *shardHolder) interval() time.Duration {
	node, address := readHolder(t.holderHint().Holder)
	if _, known := memberNamed(t.options.View, node); !known && address != "" {
		return elsewhereRest * t.options.CheckInterval
	}
	return t.options.CheckInterval
}

// tryHold holds the shard if its lease can be had.
func (t *shardHolder) tryHold(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, t.options.CallTimeout)
	term, err := t.options.Leases.Acquire(call, t.name)
	cancel()
	if err != nil {
		t.learn(heldBy(err))
		return
	}
	self := t.options.View.Self().Name
	t.forget()
	until, stop := context.WithCancel(ctx)
	go t.handOn(until, stop)
	err = t.part.hold(until, term, self)
	stop()
	t.part.metrics.forgot(t.part.number)
	if err != nil {
		t.options.Log.WithError(err).WithField("shard", t.part.number).Warn("claim shard lost")
	}
	t.release(ctx, term)
	t.dropAsk()
}

func (t *shardHolder) release(ctx context.Context, term Term) {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.options.CallTimeout)
	defer cancel()
	if err := term.Release(call); err != nil {
		t.options.Log.WithError(err).WithField("shard", t.part.number).Info("claim lease not released, it will lapse")
	}
}

// handOn stops the holding when the shard should be handed to its preferred
// holder. It returns when ctx ends.
func (t *shardHolder) handOn(ctx context.Context, stop func()) {
	for others := 0; others < handOnAfter; {
		if ctxtime.Sleep(ctx, t.options.CheckInterval) != nil {
			return
		}
		others++
		if owner := t.options.View.Owner(t.name); t.isSelf(owner) || owner.State != membership.StateServing {
			others = 0
		}
	}
	stop()
}

// preferred says whether this node is the shard's preferred holder.
func (t *shardHolder) preferred() bool { return t.isSelf(t.options.View.Owner(t.name)) }

func (t *shardHolder) isSelf(member membership.Member) bool {
	return member.Name == t.options.View.Self().Name
}

// ask makes this node try to hold the shard soon.
func (t *shardHolder) ask() {
	select {
	case t.asked <- struct{}{}:
	default:
	}
}

func (t *shardHolder) askIfOwner() {
	if t.preferred() {
		t.ask()
	}
}

// dropAsk forgets that this node was asked. Calls that came while it took the
// shard over ask for what it has done; acted on after a hand-over, they would
// take the shard back from its preferred holder.
func (t *shardHolder) dropAsk() {
	select {
	case <-t.asked:
	default:
	}
}

// learn takes in a hint, and tells whether it was better than what was known.
func (t *shardHolder) learn(hint Hint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !hint.improves(t.hint) {
		return false
	}
	t.hint = hint
	return true
}

// forget drops the holder that the hint names, as it did not answer as one. Its
// epoch stays known, so that older hints are not followed.
func (t *shardHolder) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hint.Holder = ""
}

// holderHint returns what is known of the holder.
func (t *shardHolder) holderHint() Hint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hint
}

// holderAddress returns the peer address of the node to ask: the one that the
// holder took the lease with, since the view may still have that of the process
// before it. It is false where that would be this node; then it tries to hold the
// shard.
func (t *shardHolder) holderAddress() (string, bool) {
	node, address := readHolder(t.holderHint().Holder)
	self := t.options.View.Self().Name
	if address != "" && node != self {
		return address, true
	}
	member, known := memberNamed(t.options.View, node)
	if !known {
		member = t.options.View.Owner(t.name)
	}
	if member.Name == self || member.PeerAddress == "" {
		t.ask()
		return "", false
	}
	return member.PeerAddress, true
}
