package router

import "time"

const (
	// longestPrefillDecay is the number of prefills over which the longest decays.
	longestPrefillDecay = 1000
	// cacheSavingWeight is the weight of one observation of the saving by caches.
	cacheSavingWeight = 0.02
	// minCacheSaving is the saving below which a prefix counts as not cached.
	minCacheSaving = 0.1
)

// RecordFirstToken records the first token of a running request.
func (p *Pool) RecordFirstToken(now time.Time, id string) {
	r, ok := p.running[id]
	if !ok || !r.firstToken.IsZero() {
		return
	}
	r.replica.circuit.RecordSuccess()
	r.firstToken = now
	r.lastToken = now
	r.tokens = 1
	r.replica.pace.RecordProgress(now)
	p.learnPrefill(&r.item.Value.request, r, now.Sub(r.boundAt))
}

// learnPrefill updates the prefill speed and the cache saving from the time to the first token.
func (p *Pool) learnPrefill(request *Request, r *runningRequest, timeToFirstToken time.Duration) {
	if r.replica.isStraggler() {
		return
	}
	if r.cachedFraction == 0 {
		p.speed.ObservePrefill(request.PromptTokens, timeToFirstToken)
		p.longestPrefill = max(p.longestPrefill-p.longestPrefill/longestPrefillDecay, timeToFirstToken)
		return
	}
	uncachedPrefill := p.speed.ServiceTime(request.PromptTokens, 0)
	if uncachedPrefill <= 0 {
		return
	}
	saving := min(max(1-timeToFirstToken.Seconds()/uncachedPrefill.Seconds(), 0), 1) / r.cachedFraction
	if saving < minCacheSaving {
		r.replica.prefixes.Drop(request.PrefixHashes)
	}
	p.cacheSaving += cacheSavingWeight * (min(saving, 1) - p.cacheSaving)
}

// RecordTokens records n more tokens of a running request.
func (p *Pool) RecordTokens(now time.Time, id string, n int) {
	r, ok := p.running[id]
	if !ok || n <= 0 {
		return
	}
	if r.firstToken.IsZero() {
		p.RecordFirstToken(now, id)
		n--
	}
	r.tokens += n
	if n > 0 {
		r.replica.recordTokens(now, n, now.Sub(r.lastToken), p.idleTokenTime, !p.disabled.AdaptiveLimits)
	}
	r.lastToken = now
}

// Finish records the end of an attempt and frees its slot; other IDs are ignored. The caller must
// call Decide afterwards.
func (p *Pool) Finish(now time.Time, id string, result Result) {
	r, ok := p.running[id]
	if !ok {
		return
	}
	delete(p.running, id)
	p.observeLength(now, r, result)
	p.updateCircuit(now, r.replica, result)
	p.queue.ReleaseMinShare(now, r.item, now.Sub(r.boundAt), p.totalSlots())
	r.item.Value.class.running--
	r.replica.running--
	p.deleteRemovedReplicas()
	p.changedAt = now
}

// observeLength records the lengths of complete and cancelled answers. A failed attempt does not show
// how long its answer would have been.
func (p *Pool) observeLength(now time.Time, r *runningRequest, result Result) {
	if result != ResultDone && result != ResultCancelled {
		return
	}
	request := &r.item.Value.request
	p.lengths.Observe(now, request.Class, request.Workspace, r.tokens)
}

func (p *Pool) updateCircuit(now time.Time, replica *replicaState, result Result) {
	switch result {
	case ResultDone:
		replica.circuit.RecordSuccess()
	case ResultCrashed, ResultNotRun:
		replica.circuit.RecordFailure(now, p.rand)
	default:
		replica.circuit.RecordInconclusive()
	}
}

// nextOpenAt returns when the next open circuit allows a probe, or the next pause ends; zero if no
// request waits. Those in the past are left out, since they need no further call of Decide.
func (p *Pool) nextOpenAt(now time.Time) time.Time {
	var next time.Time
	if len(p.waiting) == 0 {
		return next
	}
	for _, r := range p.orderedReplicas {
		if at := r.opensAt(); at.After(now) {
			next = earlier(next, at)
		}
	}
	return next
}
