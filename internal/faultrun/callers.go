package faultrun

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/load"
)

// Try is one try of a request as its caller saw it.
type Try struct {
	Offer *Offer
	// Address is the entry it was sent to.
	Address string
	// Stale says that the address was kept past its time.
	Stale bool
	Sent  time.Time
	// Resumed says that the rest of an answer was asked for, and Before is what
	// had come of it.
	Resumed bool
	Before  string
	load.Attempt
}

// callers send the offers of a schedule and keep what became of them.
type callers struct {
	caller *load.Caller
	// groups of callers keep addresses of their own.
	groups []*addresses
	// patience is the longest wait for an answer to a class's request.
	patience map[string]time.Duration

	mu    sync.Mutex
	tries []*Try
}

func newCallers(entries []string, patience map[string]time.Duration) *callers {
	// A connection for each request: what a closed idle one does to a request
	// is no matter of the product.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c := &callers{caller: load.NewCaller(client), patience: patience}
	for range callerGroups {
		c.groups = append(c.groups, &addresses{client: client, list: entries})
	}
	return c
}

// run sends the offers at their times and returns when all have ended.
func (c *callers) run(ctx context.Context, offers []Offer) {
	start := time.Now()
	var open sync.WaitGroup
	for i := range offers {
		if ctxtime.Sleep(ctx, time.Until(start.Add(offers[i].At))) != nil {
			break
		}
		open.Go(func() { c.serve(ctx, &offers[i], c.groups[i%len(c.groups)]) })
	}
	open.Wait()
}

// serve sends one offer with its copies and repeats.
func (c *callers) serve(ctx context.Context, offer *Offer, group *addresses) {
	for round := 0; ; round++ {
		whole := c.send(ctx, offer, group)
		done := whole && offer.IdempotencyKey == ""
		if done || round >= offer.Repeats || ctxtime.Sleep(ctx, offer.Pause) != nil {
			return
		}
	}
}

// send sends all copies at once and says whether one got a whole answer.
func (c *callers) send(ctx context.Context, offer *Offer, group *addresses) bool {
	chosen, stale := group.take(ctx, offer.Copies)
	tries := make([]*Try, len(chosen))
	var open sync.WaitGroup
	for i, address := range chosen {
		tries[i] = &Try{Offer: offer, Address: address, Stale: stale, Sent: time.Now()}
		open.Go(func() { c.try(ctx, tries[i]) })
	}
	open.Wait()
	if tries[0].canResume() {
		tries = append(tries, c.resume(ctx, tries[0], group))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, tries...)
	for _, t := range tries[:len(chosen)] {
		if t.Ending == load.EndingWhole {
			return true
		}
	}
	return false
}

func (c *callers) try(ctx context.Context, t *Try) {
	ctx, cancel := context.WithTimeout(ctx, c.patience[t.Offer.Stream.Class])
	defer cancel()
	t.Attempt = c.caller.Try(ctx, t.Address, &t.Offer.Request)
}

// canResume says whether the caller comes back for the rest of an answer.
func (t *Try) canResume() bool {
	cut := t.Ending == load.EndingGaveUp || t.Ending == load.EndingAborted
	return cut && t.RequestID != "" && t.Offer.Resumes && !t.Offer.Stream.Whole
}

// resume asks for the rest of an answer, most often at another node.
func (c *callers) resume(ctx context.Context, before *Try, group *addresses) *Try {
	chosen, stale := group.take(ctx, 1)
	t := &Try{Offer: before.Offer, Address: chosen[0], Stale: stale, Sent: time.Now(), Resumed: true, Before: before.Text}
	ctx, cancel := context.WithTimeout(ctx, c.patience[t.Offer.Stream.Class])
	defer cancel()
	// Each event brings one word.
	events := len(strings.Fields(before.Text))
	t.Attempt = c.caller.Resume(ctx, t.Address, before.RequestID, t.Offer.Stream.Key, events)
	return t
}
