package router

import "galenatrestle/internal/scheduler"

// waiting is a request that has no replica yet.
type waiting struct {
	request Request
	class   *classState
}

// item is a waiting request's place in the queue.
type item = scheduler.Item[*waiting]
