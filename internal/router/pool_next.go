package router

import (
	"time"

	"galenatrestle/internal/refusal"
)

// Decide returns all bindings and refusals due at the given time.
func (p *Pool) Decide(now time.Time) []Decision {
	decisions := p.shedDecisions
	p.shedDecisions = nil
	p.updateSlowness(now)
	decisions = p.expire(now, decisions)
	decisions = p.bindAll(now, decisions)
	p.changedAt = time.Time{}
	return decisions
}

func (p *Pool) expire(now time.Time, decisions []Decision) []Decision {
	for i := p.queue.PopExpired(now); i != nil; i = p.queue.PopExpired(now) {
		decisions = append(decisions, p.refuseExpired(now, i))
	}
	return decisions
}

func (p *Pool) refuseExpired(now time.Time, i *item) Decision {
	if i.Value.request.GiveUpAt.After(now) {
		return p.refuseWaiting(i, refusal.TooLate, "the answer is expected after the request's time limit")
	}
	return p.refuseWaiting(i, refusal.GaveUpWaiting, "no replica had a free slot in time")
}

// refuseWaiting refuses a request that has left the queue.
func (p *Pool) refuseWaiting(i *item, reason refusal.Reason, message string) Decision {
	p.untrackWaiting(i)
	p.stats.Refused++
	w := i.Value
	refused := refuse(&w.request, reason, stepQueue, message, w.class.GiveUpAfter.Std()/2)
	return Decision{ID: w.request.ID, Refused: refused}
}

// maxSkipped bounds the requests skipped by one call of Decide.
const maxSkipped = 16

// bindAll binds requests to free replicas. A request without an eligible free replica is skipped and
// keeps its place in the queue.
func (p *Pool) bindAll(now time.Time, decisions []Decision) []Decision {
	var skipped []*item
	slots := p.totalSlots()
	for p.anyHasFreeSlot(now) && len(skipped) < maxSkipped {
		i := p.queue.Pop(now, slots)
		if i == nil {
			break
		}
		if !p.latestUsefulStart(&i.Value.request).After(now) {
			// The estimated service time has grown since the request arrived.
			p.queue.Restore(now, i)
			p.queue.Remove(i)
			decisions = append(decisions, p.refuseExpired(now, i))
			continue
		}
		replica, choice := p.choose(now, &i.Value.request)
		if replica == nil {
			skipped = append(skipped, i)
			continue
		}
		decisions = append(decisions, p.bind(now, i, replica, choice))
	}
	for _, i := range skipped {
		p.queue.Restore(now, i)
	}
	return decisions
}

func (p *Pool) totalSlots() int {
	slots := 0
	for _, r := range p.orderedReplicas {
		if r.acceptsNew() {
			slots += r.limit()
		}
	}
	return slots
}

func (p *Pool) bind(now time.Time, i *item, replica *replicaState, choice Choice) Decision {
	p.untrackWaiting(i)
	p.stats.Bound++
	i.Value.class.running++
	if replica.running == 0 {
		replica.pace.RecordProgress(now)
	}
	replica.running++
	replica.circuit.RecordDispatch()
	replica.learnedLimit.RecordUsage(replica.running, p.highestTierWaits())
	cachedFraction := replica.prefixes.Match(i.Value.request.PrefixHashes)
	replica.prefixes.Add(i.Value.request.PrefixHashes)
	id := i.Value.request.ID
	p.running[id] = &runningRequest{item: i, replica: replica, boundAt: now, cachedFraction: cachedFraction}
	chosen := replica.Replica
	return Decision{ID: id, Replica: &chosen, Choice: choice}
}
