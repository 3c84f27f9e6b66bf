package router

import "galenatrestle/internal/scheduler"

type waitingRequest struct {
	request Request
	class   *classState
}

type item = scheduler.Item[*waitingRequest]
