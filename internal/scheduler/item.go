package scheduler

import "time"

// Item is one waiting request.
type Item[T any] struct {
	// Workspace is charged for the item in fair queueing.
	Workspace string
	Arrived   time.Time
	// LatestStart is the latest start expected to meet the request's latency target.
	LatestStart time.Time
	// ExpiresAt is when starting the item is no longer expected to be useful.
	ExpiresAt time.Time
	// Cost is the expected usage in tokens; it must be positive.
	Cost  float64
	Value T

	class    *classQueue[T]
	sequence uint64
	// charge is the cost divided by the workspace's weight, as charged by Pop.
	charge     float64
	state      itemState
	byMinShare bool
}

// ByMinShare reports whether the item was popped under its class's minimum share.
func (i *Item[T]) ByMinShare() bool { return i.byMinShare }

// Queued reports whether the item is in the queue.
func (i *Item[T]) Queued() bool { return i.state == onTime || i.state == late }

type itemState int

const (
	dequeued itemState = iota
	onTime
	// late items are past their latest start.
	late
)
