package gateway

import (
	"time"

	"galenatrestle/internal/dispatch"
	"galenatrestle/internal/quarantine"
)

// progress tells the decisions how an attempt comes along.
type progress struct {
	exchange *exchange
	slot     *dispatch.Slot
	run      *quarantine.Run
}

// token notes one more token.
func (p *progress) token() {
	e := p.exchange
	if e.begun {
		p.slot.Tokens(1)
		return
	}
	e.begun = true
	now := time.Now()
	if e.first.IsZero() {
		e.first = now
	}
	p.slot.FirstToken()
	e.server.guard.running.Answered(p.run)
	e.server.options.Retries.ObserveFirstToken(now, e.call.class.Name, e.completion.upstream.Name, now.Sub(e.sentAt))
}
