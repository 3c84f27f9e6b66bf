package rounds

import (
	"context"
	"maps"
	"sync"
)

// OwnerClient sends requests to the nodes that own what this one needs, one at a time to
// each, and has their answers taken in. It is safe for concurrent use.
type OwnerClient[Request, Answer any] struct {
	// Self is this node's name; what it asks of itself is answered by Own at once.
	Self        string
	HandleLocal func(Request) Answer
	// Call asks the node at the peer address.
	Call func(ctx context.Context, address string, request Request) (Answer, error)
	// HandleResponse is given the answer, or the error in its place.
	HandleResponse func(owner string, request Request, answer Answer, err error)

	calls sync.WaitGroup

	mu   sync.Mutex
	busy map[string]bool
}

// InFlight is the owners with a call under way.
func (a *OwnerClient[Request, Answer]) InFlight() map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.busy)
}

// Send asks the owner at the peer address, and does not wait for the answer unless
// the owner is this node. The owner counts as busy until the answer is taken in.
func (a *OwnerClient[Request, Answer]) Send(ctx context.Context, owner, address string, request Request) {
	if owner == a.Self {
		a.HandleResponse(owner, request, a.HandleLocal(request), nil)
		return
	}
	a.setBusy(owner, true)
	a.calls.Go(func() {
		defer a.setBusy(owner, false)
		answer, err := a.Call(ctx, address, request)
		a.HandleResponse(owner, request, answer, err)
	})
}

func (a *OwnerClient[Request, Answer]) setBusy(owner string, busy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !busy {
		delete(a.busy, owner)
		return
	}
	if a.busy == nil {
		a.busy = make(map[string]bool)
	}
	a.busy[owner] = true
}

// Wait returns once no call is under way.
func (a *OwnerClient[Request, Answer]) Wait() { a.calls.Wait() }
