package clairvoyant

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Outcome is what the order reaches.
type Outcome struct {
	// Offered and OnTarget count the jobs of each class, by Job.Class.
	Offered, OnTarget []int
	// Tokens are those of answers on target.
	Tokens int
	// End is when the last answer ended.
	End time.Duration
}

// Goodput is the tokens on target per second, zero for an empty run.
func (o *Outcome) Goodput() float64 {
	if o.End <= 0 {
		return 0
	}
	return float64(o.Tokens) / o.End.Seconds()
}

// Run orders the jobs of the given number of classes on slots that each run one
// job at a time. slots must be above zero.
func Run(slots, classes int, jobs []Job) Outcome {
	o := order{
		outcome: Outcome{Offered: make([]int, classes), OnTarget: make([]int, classes)},
		free:    make(slotTimes, slots),
		pending: slices.SortedStableFunc(slices.Values(jobs), func(a, b Job) int { return cmp.Compare(a.Arrives, b.Arrives) }),
	}
	for o.next() {
		o.startOne()
	}
	return o.outcome
}

// order is a run under way.
type order struct {
	outcome Outcome
	free    slotTimes
	pending []Job
	waiting []*Job
	now     time.Duration
}

// next goes on to when a slot is free and a job waits; false: all is done.
func (o *order) next() bool {
	o.now = max(o.now, o.free[0])
	if len(o.waiting) == 0 {
		if len(o.pending) == 0 {
			return false
		}
		o.now = max(o.now, o.pending[0].Arrives)
	}
	for len(o.pending) > 0 && o.pending[0].Arrives <= o.now {
		o.outcome.Offered[o.pending[0].Class]++
		o.waiting = append(o.waiting, &o.pending[0])
		o.pending = o.pending[1:]
	}
	return true
}

// startOne takes the first waiting job and runs it on the free slot, or drops
// it where its caller would be gone.
func (o *order) startOne() {
	first := 0
	for i, j := range o.waiting {
		if j.before(o.waiting[first], o.now) {
			first = i
		}
	}
	j := o.waiting[first]
	o.waiting = slices.Delete(o.waiting, first, first+1)
	if j.useless(o.now) {
		return
	}
	end := o.now + j.Service
	o.free[0] = end
	heap.Fix(&o.free, 0)
	o.outcome.End = max(o.outcome.End, end)
	if o.now <= j.latest() {
		o.outcome.OnTarget[j.Class]++
		o.outcome.Tokens += j.Tokens
	}
}
