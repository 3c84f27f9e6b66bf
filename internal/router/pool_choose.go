package router

import (
	"slices"
	"time"
)

// choose returns the replica for w by the power of two choices on this node's
// own requests in flight, or nil where none is free.
func (p *Pool) choose(now time.Time, w *waiting) *replicaState {
	candidates := p.candidates(now, w)
	if len(candidates) == 0 {
		return nil
	}
	first := candidates[p.rand.IntN(len(candidates))]
	second := candidates[p.rand.IntN(len(candidates))]
	if second.running < first.running {
		return second
	}
	return first
}

// candidates lists the free replicas that w need not avoid. Where w avoids all
// open replicas, avoiding has no point and all free ones count.
func (p *Pool) candidates(now time.Time, w *waiting) []*replicaState {
	var free []*replicaState
	avoidable := false
	for _, r := range p.order {
		if !r.open() || slices.Contains(w.request.Avoid, r.Name) {
			continue
		}
		avoidable = true
		if r.free(now) {
			free = append(free, r)
		}
	}
	if avoidable {
		return free
	}
	for _, r := range p.order {
		if r.free(now) {
			free = append(free, r)
		}
	}
	return free
}

func (p *Pool) anyFree(now time.Time) bool {
	return slices.ContainsFunc(p.order, func(r *replicaState) bool { return r.free(now) })
}

func (p *Pool) anyOpen() bool {
	return slices.ContainsFunc(p.order, (*replicaState).open)
}
