package router

import "time"

const (
	// prefillMemory is the number of prefills over which the longest fades.
	prefillMemory = 1000
	// gainWeight is the weight of one observation of what a cache saves.
	gainWeight = 0.02
	// leastGain is the saving below which a prefix counts as not cached.
	leastGain = 0.1
)

// RecordFirstToken notes that the first token of a running request came.
func (p *Pool) RecordFirstToken(now time.Time, id string) {
	r, ok := p.running[id]
	if !ok || !r.firstToken.IsZero() {
		return
	}
	r.replica.circuit.Succeeded()
	r.firstToken = now
	r.lastToken = now
	r.tokens = 1
	r.replica.pace.Moved(now)
	p.learnPrefill(&r.item.Value.request, r, now.Sub(r.boundAt))
}

// learnPrefill corrects what is believed of prefill and caches by what the
// first token took.
func (p *Pool) learnPrefill(request *Request, r *running, took time.Duration) {
	if r.replica.suspect() {
		return
	}
	if r.cached == 0 {
		p.speed.ObservePrefill(request.PromptTokens, took)
		p.longestPrefill = max(p.longestPrefill-p.longestPrefill/prefillMemory, took)
		return
	}
	whole := p.speed.ServiceTime(request.PromptTokens, 0)
	if whole <= 0 {
		return
	}
	gain := min(max(1-took.Seconds()/whole.Seconds(), 0), 1) / r.cached
	if gain < leastGain {
		r.replica.prefixes.Drop(request.PrefixHashes)
	}
	p.cacheGain += gainWeight * (min(gain, 1) - p.cacheGain)
}

// RecordTokens notes that n more tokens of a running request came.
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
		r.replica.tokens(now, n, now.Sub(r.lastToken), p.reference, !p.without.AdaptiveLimits)
	}
	r.lastToken = now
}

// Finish notes the end of a running request's attempt and frees its slot.
// Call Next afterwards. It does nothing for a request that does not run.
func (p *Pool) Finish(now time.Time, id string, result Result) {
	r, ok := p.running[id]
	if !ok {
		return
	}
	delete(p.running, id)
	p.learn(now, r, result)
	p.judge(now, r.replica, result)
	p.queue.Ended(now, r.item, now.Sub(r.boundAt), p.slots())
	r.item.Value.class.running--
	r.replica.running--
	p.forgetRemoved()
	p.changedAt = now
}

// learn takes in the length of a whole answer, or of one that was cut short by
// its caller; a failed attempt says nothing about the length.
func (p *Pool) learn(now time.Time, r *running, result Result) {
	if result != ResultDone && result != ResultCancelled {
		return
	}
	request := &r.item.Value.request
	p.lengths.Observe(now, request.Class, request.Workspace, r.tokens)
}

// judge opens a replica's circuit when an attempt failed at once, and closes it
// when one succeeded.
func (p *Pool) judge(now time.Time, replica *replicaState, result Result) {
	switch result {
	case ResultDone:
		replica.circuit.Succeeded()
	case ResultCrashed, ResultNotRun:
		replica.circuit.Failed(now, p.rand)
	default:
		replica.circuit.Undecided()
	}
}

// reopens returns when the next open circuit lets a probe through; zero where
// nothing waits for that. One that does so already is no reason to look again.
func (p *Pool) reopens(now time.Time) time.Time {
	var next time.Time
	if len(p.waiting) == 0 {
		return next
	}
	for _, r := range p.order {
		if at := r.circuit.ReopensAt(); at.After(now) {
			next = earlier(next, at)
		}
	}
	return next
}
