package router

import (
	"time"

	"galenatrestle/internal/refusal"
)

// Next returns all bindings and refusals that are due at now.
func (p *Pool) Next(now time.Time) []Event {
	events := p.expire(now, nil)
	events = p.bindAll(now, events)
	p.changedAt = time.Time{}
	return events
}

func (p *Pool) expire(now time.Time, events []Event) []Event {
	for w := p.expiry.due(now); w != nil; w = p.expiry.due(now) {
		p.leaveQueue(w)
		p.stats.Refused++
		refused := refuse(&w.request, refusal.GaveUpWaiting, stepQueue, "no replica came free in time", 0)
		events = append(events, Event{ID: w.request.ID, Refused: refused})
	}
	return events
}

// bindAll binds requests while a replica is free. One whose free replicas are
// all to be avoided is passed over and keeps its place.
func (p *Pool) bindAll(now time.Time, events []Event) []Event {
	var passed []*waiting
	for p.anyFree() {
		w := p.queue.pop()
		if w == nil {
			break
		}
		replica := p.choose(w)
		if replica == nil {
			passed = append(passed, w)
			continue
		}
		events = append(events, p.bind(now, w, replica))
	}
	for _, w := range passed {
		p.queue.push(w)
	}
	return events
}

func (p *Pool) bind(now time.Time, w *waiting, replica *replicaState) Event {
	p.leaveQueue(w)
	p.stats.Bound++
	w.class.running++
	replica.running++
	p.running[w.request.ID] = &running{
		request: w.request, class: w.class, replica: replica, boundAt: now,
	}
	chosen := replica.Replica
	return Event{ID: w.request.ID, Replica: &chosen}
}
