package router

import (
	"time"

	"galenatrestle/internal/refusal"
)

// Decide returns all bindings and refusals that are due at now.
func (p *Pool) Decide(now time.Time) []Decision {
	events := p.shed
	p.shed = nil
	p.comparePace(now)
	events = p.expire(now, events)
	events = p.bindAll(now, events)
	p.changedAt = time.Time{}
	return events
}

func (p *Pool) expire(now time.Time, events []Decision) []Decision {
	for i := p.queue.Expired(now); i != nil; i = p.queue.Expired(now) {
		events = append(events, p.giveUpLate(now, i))
	}
	return events
}

// giveUpLate refuses a request that is of no more use.
func (p *Pool) giveUpLate(now time.Time, i *item) Decision {
	if i.Value.request.GiveUpAt.After(now) {
		return p.giveUp(i, refusal.TooLate, "the answer would come too late to be of use")
	}
	return p.giveUp(i, refusal.GaveUpWaiting, "no replica came free in time")
}

// giveUp refuses a request that has left the queue.
func (p *Pool) giveUp(i *item, reason refusal.Reason, message string) Decision {
	p.leave(i)
	p.stats.Refused++
	w := i.Value
	refused := refuse(&w.request, reason, stepQueue, message, w.class.GiveUpAfter.Std()/2)
	return Decision{ID: w.request.ID, Refused: refused}
}

// maxPassed bounds the requests that one Next passes over.
const maxPassed = 16

// bindAll binds requests while a replica is free. One for which no free replica
// is fit is passed over and keeps its place.
func (p *Pool) bindAll(now time.Time, events []Decision) []Decision {
	var passed []*item
	slots := p.slots()
	for p.anyFree(now) && len(passed) < maxPassed {
		i := p.queue.Pop(now, slots)
		if i == nil {
			break
		}
		if !p.uselessFrom(&i.Value.request).After(now) {
			// The estimate has grown since the request came.
			p.queue.Restore(now, i)
			p.queue.Remove(i)
			events = append(events, p.giveUpLate(now, i))
			continue
		}
		replica, choice := p.choose(now, &i.Value.request)
		if replica == nil {
			passed = append(passed, i)
			continue
		}
		events = append(events, p.bind(now, i, replica, choice))
	}
	for _, i := range passed {
		p.queue.Restore(now, i)
	}
	return events
}

// slots is the limit of all open replicas together.
func (p *Pool) slots() int {
	slots := 0
	for _, r := range p.order {
		if r.open() {
			slots += r.limit()
		}
	}
	return slots
}

func (p *Pool) bind(now time.Time, i *item, replica *replicaState, choice Choice) Decision {
	p.leave(i)
	p.stats.Bound++
	i.Value.class.running++
	if replica.running == 0 {
		replica.pace.Moved(now)
	}
	replica.running++
	replica.circuit.Bound()
	replica.learned.Used(replica.running, p.urgent())
	cached := replica.prefixes.Match(i.Value.request.PrefixHashes)
	replica.prefixes.Add(i.Value.request.PrefixHashes)
	id := i.Value.request.ID
	p.running[id] = &running{item: i, replica: replica, boundAt: now, cached: cached}
	chosen := replica.Replica
	return Decision{ID: id, Replica: &chosen, Choice: choice}
}
