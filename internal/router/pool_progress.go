package router

import "time"

// FirstToken notes that the first token of a running request came.
func (p *Pool) FirstToken(now time.Time, id string) {
	if r, ok := p.running[id]; ok && r.firstToken.IsZero() {
		r.firstToken = now
		r.tokens = 1
	}
}

// Tokens notes that n more tokens of a running request came.
func (p *Pool) Tokens(_ time.Time, id string, n int) {
	if r, ok := p.running[id]; ok {
		r.tokens += n
	}
}

// Finish notes the end of a running request's attempt and frees its slot.
// Call Next afterwards. It does nothing for a request that does not run.
func (p *Pool) Finish(now time.Time, id string, _ Result) {
	r, ok := p.running[id]
	if !ok {
		return
	}
	delete(p.running, id)
	r.class.running--
	r.replica.running--
	if r.replica.removed && r.replica.running == 0 {
		p.forgetRemoved()
	}
	p.changedAt = now
}
