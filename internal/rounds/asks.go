package rounds

import (
	"context"
	"maps"
	"sync"
)

// OwnerClient sends requests to the nodes that own the resources this node needs. Callers
// check InFlight to limit themselves to one call per owner. It is safe for concurrent
// use.
type OwnerClient[Request, Response any] struct {
	// Self is this node's name. HandleLocal answers requests to Self synchronously.
	Self        string
	HandleLocal func(Request) Response
	// Call sends the request to the node at the peer address.
	Call func(ctx context.Context, address string, request Request) (Response, error)
	// HandleResponse receives the response, or the error if the call failed.
	HandleResponse func(owner string, request Request, response Response, err error)

	calls sync.WaitGroup

	mu       sync.Mutex
	inFlight map[string]bool
}

// InFlight returns the owners that have a call in flight.
func (c *OwnerClient[Request, Response]) InFlight() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.inFlight)
}

// Send sends a request to the owner at the peer address. It waits for the response only
// if the owner is this node. The owner counts as in flight until HandleResponse returns.
func (c *OwnerClient[Request, Response]) Send(ctx context.Context, owner, address string, request Request) {
	if owner == c.Self {
		c.HandleResponse(owner, request, c.HandleLocal(request), nil)
		return
	}
	c.setInFlight(owner, true)
	c.calls.Go(func() {
		defer c.setInFlight(owner, false)
		response, err := c.Call(ctx, address, request)
		c.HandleResponse(owner, request, response, err)
	})
}

func (c *OwnerClient[Request, Response]) setInFlight(owner string, inFlight bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !inFlight {
		delete(c.inFlight, owner)
		return
	}
	if c.inFlight == nil {
		c.inFlight = make(map[string]bool)
	}
	c.inFlight[owner] = true
}

// Wait blocks until no call is in flight.
func (c *OwnerClient[Request, Response]) Wait() { c.calls.Wait() }
