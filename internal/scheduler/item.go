package scheduler

import "time"

// Item is one waiting request.
type Item[T any] struct {
	// Workspace whose fair share the item uses.
	Workspace string
	// Arrived is when the request came.
	Arrived time.Time
	// LatestStart is the latest start that is expected to meet the target.
	LatestStart time.Time
	// ExpiresAt is when a start is no longer expected to be of any use.
	ExpiresAt time.Time
	// Cost is the expected use in tokens; it must be above zero.
	Cost float64
	// Value is the caller's own.
	Value T

	class    *classQueue[T]
	sequence uint64
	// charge is what the workspace's flow was charged when the item left.
	charge float64
	state  itemState
	// byShare says that the item left by its class's minimum share.
	byShare bool
}

// ByMinShare says whether the item left the queue by its class's minimum share.
func (i *Item[T]) ByMinShare() bool { return i.byShare }

// Queued says whether the item is in the queue.
func (i *Item[T]) Queued() bool { return i.state == onTime || i.state == late }

type itemState int

const (
	gone itemState = iota
	onTime
	late
)
