package engine

import (
	"container/heap"
	"slices"
	"time"

	"galenatrestle/internal/standin/runs"
)

// submit puts a generation into the queue and starts the step loop if it
// rests. It returns false where the queue is full.
func (e *Engine) submit(g *generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= e.opts.QueueBound {
		return false
	}
	e.arrivals++
	g.arrival = e.arrivals
	heap.Push(&e.waiting, g)
	e.admitLocked()
	e.recordLoadLocked()
	if !e.stepping {
		e.stepping = true
		go e.stepLoop()
	}
	return true
}

// admitLocked moves waiting generations into the batch while it has room.
func (e *Engine) admitLocked() {
	for len(e.batch) < e.opts.BatchBound && len(e.waiting) > 0 {
		g := heap.Pop(&e.waiting).(*generation)
		g.state = stateRunning
		g.readyAt = e.prefillLocked(g)
		g.sequence = e.runs.Begin(runs.Run{RequestID: g.requestID, Path: g.model})
		e.batch = append(e.batch, g)
	}
}

// prefillLocked returns when the prompt will have been read: only the words
// past the cached prefix take time, and prompts are read one after the other.
func (e *Engine) prefillLocked(g *generation) time.Time {
	cached := e.cache.cached(g.prefixes) * prefixBlockWords
	e.cache.store(g.prefixes)
	start := time.Now()
	if e.prefillUntil.After(start) {
		start = e.prefillUntil
	}
	took := time.Duration(float64(e.opts.PrefillPerToken) * float64(g.promptTokens-cached) * e.slowness())
	e.prefillUntil = start.Add(took)
	return e.prefillUntil
}

// endLocked takes a generation out of queue or batch, records how its run
// ended and tells its handler. Ending it a second time does nothing.
func (e *Engine) endLocked(g *generation, how state) {
	switch g.state {
	case stateWaiting:
		if g.index >= 0 {
			heap.Remove(&e.waiting, g.index)
		}
	case stateRunning:
		e.batch = slices.DeleteFunc(e.batch, func(other *generation) bool { return other == g })
		e.runs.End(g.sequence, runs.End{
			Completed: how == stateDone,
			Cancelled: how == stateCancelled,
			Crashed:   how == stateCrashed,
			Tokens:    g.given,
		})
	default:
		return
	}
	g.state = how
	if how != stateDone {
		g.abort()
	}
	g.wake()
}

func (e *Engine) recordLoadLocked() { e.load.add(len(e.batch), len(e.waiting)) }
