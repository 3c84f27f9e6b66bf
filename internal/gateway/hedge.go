package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"galenatrestle/internal/explain"
	"galenatrestle/internal/retry"
	"galenatrestle/internal/router"
	"galenatrestle/internal/upstream"
)

// hedgeSuffix tells a hedge's request for a slot from its first attempt's.
const hedgeSuffix = ".hedge"

var (
	// errLostRace ends an attempt whose answer another one began first.
	errLostRace = &upstream.Error{Kind: upstream.Cancelled, Step: "race", Cause: errors.New("another attempt answered first")}
	// errNoOtherReplica ends a hedge that found no replica of its own.
	errNoOtherReplica = &upstream.Error{Kind: upstream.NotRun, Step: "hedge", Cause: errors.New("no other replica is free")}
)

// openAttempt opens the attempt and, where its first token is late and the class
// allows it, a second one beside it. It returns the attempt that answered first,
// or the last one that failed; the other is closed.
func (e *exchange) openAttempt(ctx context.Context, primary *attempt, body []byte) *attempt {
	after, allowed := e.server.options.Retries.HedgeDelay(e.hedge(0))
	if !allowed {
		primary.open(ctx, body)
		return primary
	}
	opened := make(chan *attempt, 2)
	began := time.Now()
	primaryCtx := primary.withCancel(ctx)
	go func() {
		primary.open(primaryCtx, body)
		opened <- primary
	}()
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case a := <-opened:
		return a
	case <-timer.C:
	}
	if !e.server.options.Retries.ShouldHedge(time.Now(), e.hedge(time.Since(began))) {
		return <-opened
	}
	e.server.metrics.retries.CountHedge()
	e.call.timeline.Add(time.Now(), &explain.Again{Decision: "hedge", Reason: string(retry.ReasonHedge), Waited: time.Since(began)})
	e.attempts++
	second := &attempt{exchange: e, number: e.attempts}
	secondCtx := second.withCancel(ctx)
	request := e.hedgeRequest(primary.slot.Replica.Name)
	go func() {
		second.openBeside(secondCtx, primary.slot.Replica.Name, request, body)
		opened <- second
	}()
	return e.firstOf(opened, primary, second)
}

// firstOf returns the first attempt that answers; the other one is cancelled.
// Where the first to come back has failed, the other is waited for.
func (e *exchange) firstOf(opened <-chan *attempt, primary, second *attempt) *attempt {
	first := <-opened
	if first.err != nil {
		e.note(first, first.err)
		first.close(first.err)
		return <-opened
	}
	if first == primary {
		second.cancel()
	} else {
		primary.cancel()
	}
	go func() {
		loser := <-opened
		if loser.err == nil {
			loser.err = errLostRace
		}
		loser.close(loser.err)
	}()
	return first
}

// openBeside waits for a slot on another replica than the first attempt's and
// opens the attempt there.
func (a *attempt) openBeside(ctx context.Context, other string, request router.Request, body []byte) {
	a.slot, a.run, a.err = a.exchange.server.acquire(ctx, a.exchange.completion.upstream.Name, request)
	if a.err != nil {
		return
	}
	a.exchange.call.bound(a.number, a.slot)
	if a.slot.Replica.Name == other {
		a.err = errNoOtherReplica
		return
	}
	a.open(ctx, body)
}

func (e *exchange) hedgeRequest(other string) router.Request {
	request := e.routerRequest()
	request.ID += hedgeSuffix
	request.Avoid = append(slices.Clone(request.Avoid), other)
	return request
}

// hedge is what the decision on a second attempt needs to know.
func (e *exchange) hedge(waited time.Duration) retry.HedgeCandidate {
	return retry.HedgeCandidate{
		Class:      e.call.class.Name,
		Upstream:   e.completion.upstream.Name,
		Tier:       e.call.class.Tier,
		Allowed:    e.call.class.Hedge && !e.completion.opaque,
		Repeatable: true,
		Waited:     waited,
		Remaining:  time.Until(e.call.giveUpAt),
		Attempts:   e.attempts,
	}
}
