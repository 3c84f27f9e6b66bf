package router

import (
	"slices"

	"galenatrestle/internal/refusal"
)

func (m *model) submit(r Request) {
	lowest := m.lowestWaitingTier()
	if refused := m.pool.Submit(m.now, r); refused != nil {
		if refused.Reason == refusal.QueueFull && len(m.waiting) >= 14 && lowest > r.Tier && m.waitingInClass(r.Class) < 6 {
			m.t.Fatalf("request %s of tier %d refused while a request of tier %d waits", r.ID, r.Tier, lowest)
		}
		m.recordEnd(r.ID, "refused")
		return
	}
	m.waiting[r.ID] = r
	m.requests[r.ID] = r
	for _, decision := range m.pool.shedDecisions {
		victim := m.requests[decision.ID]
		if victim.Tier <= r.Tier || victim.Tier != lowest {
			m.t.Fatalf("tier %d shed for tier %d while tier %d waited", victim.Tier, r.Tier, lowest)
		}
	}
	m.decide()
}

func (m *model) lowestWaitingTier() int {
	lowest := -1
	for _, r := range m.waiting {
		lowest = max(lowest, r.Tier)
	}
	return lowest
}

func (m *model) waitingInClass(class string) int {
	n := 0
	for _, r := range m.waiting {
		if r.Class == class {
			n++
		}
	}
	return n
}

func (m *model) recordEnd(id, ending string) {
	if before, ok := m.ended[id]; ok {
		m.t.Fatalf("request %s ended as %s and again as %s", id, before, ending)
	}
	m.ended[id] = ending
}

func (m *model) decide() {
	for _, decision := range m.pool.Decide(m.now) {
		r, ok := m.waiting[decision.ID]
		if !ok {
			m.t.Fatalf("decision for %s, which is not waiting", decision.ID)
		}
		delete(m.waiting, decision.ID)
		if decision.Refused != nil {
			m.checkRefusal(r, decision.Refused)
			m.recordEnd(decision.ID, "refused")
			continue
		}
		if m.leaving[decision.Replica.Name] {
			m.t.Fatalf("request %s bound to leaving replica %s", decision.ID, decision.Replica.Name)
		}
		m.running[decision.ID] = decision.Replica.Name
	}
	m.checkCounts()
}

// checkRefusal accepts the refusal of a waiting request for its time limit or a higher tier only.
func (m *model) checkRefusal(r Request, refused *refusal.Error) {
	switch refused.Reason {
	case refusal.ShedForHigherTier:
	case refusal.GaveUpWaiting, refusal.TooLate:
		if half := r.GiveUpAt.Sub(r.Arrived) / 2; m.now.Before(r.Arrived.Add(half)) {
			m.t.Fatalf("%s refused as %s in the first half of its time", r.ID, refused.Reason)
		}
	default:
		m.t.Fatalf("%s refused as %s while it waited", r.ID, refused.Reason)
	}
	if refused.RetryAfter <= 0 {
		m.t.Fatalf("%s refused without RetryAfter", r.ID)
	}
}

func (m *model) checkCounts() {
	perReplica := make(map[string]int)
	minShareRunning := make(map[string]int)
	for id, name := range m.running {
		perReplica[name]++
		if m.pool.running[id].item.ByMinShare() {
			minShareRunning[m.requests[id].Class]++
		}
	}
	stats := m.pool.Stats(m.now)
	for _, r := range stats.Replicas {
		if r.Running != perReplica[r.Name] {
			m.t.Fatalf("replica %s runs %d requests, want %d", r.Name, r.Running, perReplica[r.Name])
		}
	}
	if len(m.pool.waiting) != len(m.waiting) || m.pool.queue.Len() != len(m.waiting) || len(m.pool.running) != len(m.running) {
		m.t.Fatalf("pool has %d waiting, %d running; want %d, %d", len(m.pool.waiting), len(m.pool.running), len(m.waiting), len(m.running))
	}
	for class, n := range minShareRunning {
		if totalSlots := 20; n > max(1, totalSlots*3/10) {
			m.t.Fatalf("class %s uses %d slots by its minimum share", class, n)
		}
	}
	m.checkWaiting()
}

// checkWaiting checks that no request waits past its time limit or while a replica is free.
func (m *model) checkWaiting() {
	for _, r := range m.waiting {
		if !r.GiveUpAt.After(m.now) {
			m.t.Fatalf("%s waits past its time", r.ID)
		}
		if len(r.Avoid) == 0 && m.anyFreeNonStraggler() {
			m.t.Fatalf("request %s waits while a replica is free", r.ID)
		}
	}
	if len(m.waiting) > 0 && m.pool.Deadline(m.now).IsZero() {
		m.t.Fatal("Deadline is zero while requests wait")
	}
}

func (m *model) anyFreeNonStraggler() bool {
	return slices.ContainsFunc(m.pool.orderedReplicas, func(r *replicaState) bool {
		return r.hasFreeSlot(m.now) && !r.isStraggler()
	})
}
