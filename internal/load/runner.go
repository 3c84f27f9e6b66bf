package load

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/ctxtime"
)

// Runner sends planned requests at their times, whether or not earlier ones
// were answered.
type Runner struct {
	workload *Workload
	caller   *Caller
	entries  *Entries
	collect  *Collector
}

// NewRunner returns a runner that gives its results to collect.
func NewRunner(w *Workload, caller *Caller, entries *Entries, collect *Collector) *Runner {
	return &Runner{workload: w, caller: caller, entries: entries, collect: collect}
}

// Run sends the requests and returns when all have ended, or when the drain
// time after the last has passed, or ctx ended; what was open then counts as
// given up.
func (r *Runner) Run(ctx context.Context, requests []Request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var open sync.WaitGroup
	for i := range requests {
		due := start.Add(requests[i].At)
		if !sleepUntil(ctx, due) {
			break
		}
		r.collect.offered(&requests[i])
		open.Go(func() { r.collect.ended(r.send(ctx, &requests[i], due)) })
	}
	drained := time.AfterFunc(r.workload.Drain.Std(), cancel)
	defer drained.Stop()
	open.Wait()
}

// send tries the request as often as its stream says.
func (r *Runner) send(ctx context.Context, request *Request, due time.Time) *Result {
	result := &Result{Request: request, Late: time.Since(due)}
	for {
		result.Attempts++
		attempt := r.caller.Try(ctx, r.entries.Next(ctx), request)
		r.note(result, attempt, due)
		if !r.again(ctx, result) {
			return result
		}
	}
}

func (r *Runner) note(result *Result, attempt Attempt, due time.Time) {
	result.Last = attempt
	result.Wrong = ""
	if attempt.Ending == EndingWhole {
		result.Wrong = Wrong(result.Request, attempt.Text, r.workload.EngineSeed)
	}
	result.Tokens = tokens(result.Request, attempt.Text)
	result.Answer = attempt.Ended.Sub(due)
	if !attempt.FirstToken.IsZero() {
		result.FirstToken = attempt.FirstToken.Sub(due)
	}
	if attempt.Outcome == "not-run" && attempt.RequestID != "" {
		result.NotRun = append(result.NotRun, attempt.RequestID)
	}
}

// again waits for the next attempt, or returns false where there is none.
func (r *Runner) again(ctx context.Context, result *Result) bool {
	resend := result.Request.Stream.Resend
	if result.Last.Ending == EndingWhole || result.Attempts > resend.Times {
		return false
	}
	if result.Last.Ending == EndingGaveUp && !resend.AfterGivingUp {
		return false
	}
	wait := max(resend.Wait.Std(), result.Last.RetryAfter)
	return sleepUntil(ctx, time.Now().Add(wait))
}

// sleepUntil returns false where ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return ctxtime.Sleep(ctx, wait) == nil
}
