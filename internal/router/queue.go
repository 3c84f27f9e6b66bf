package router

import "container/heap"

const maxTiers = 16

// queue holds the waiting requests by tier, then by arrival.
type queue struct {
	tiers [maxTiers]arrivalHeap
}

func newQueue() *queue { return &queue{} }

func (q *queue) push(w *waiting) {
	heap.Push(&q.tiers[w.request.Tier], w)
}

// pop takes out the first request of the highest tier, or returns nil.
func (q *queue) pop() *waiting {
	for tier := range q.tiers {
		if w := q.popTier(tier); w != nil {
			return w
		}
	}
	return nil
}

func (q *queue) popTier(tier int) *waiting {
	for len(q.tiers[tier]) > 0 {
		w := heap.Pop(&q.tiers[tier]).(*waiting)
		if !w.gone {
			return w
		}
	}
	return nil
}
