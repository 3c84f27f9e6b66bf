package forward_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/route"
)

func answerBrittle(c *forwardtest.Conn) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\n%s: 3\r\nContent-Length: 4\r\n\r\ndone",
		forwardtest.HeaderID, forwardtest.HeaderStamp, forwardtest.HeaderBrittle)
	return err == nil
}

func refuseBrittle(c *forwardtest.Conn) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: c1\r\n%s: 1\r\n%s: 3\r\nContent-Length: 0\r\n\r\n",
		forwardtest.HeaderID, forwardtest.HeaderNotExecuted, forwardtest.HeaderBrittle)
	return err == nil
}

// slotIssuer grants the asks that wait, or all, and notes what it is told.
type slotIssuer struct {
	onlyWaiting bool

	mu      sync.Mutex
	asks    []ratelimit.SlotAsk
	reports []ratelimit.SlotReport
}

func issuerName(string) string { return "vm-9" }

func (i *slotIssuer) ask(_ context.Context, ask ratelimit.Ask) (ratelimit.Grant, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.asks = append(i.asks, *ask.Slot)
	return ratelimit.Grant{Granted: !i.onlyWaiting || ask.Slot.Wait > 0, RetryAfter: 50 * time.Millisecond}, nil
}

func (i *slotIssuer) askCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.asks)
}

func (i *slotIssuer) report(_ context.Context, r *ratelimit.SlotReport) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reports = append(i.reports, *r)
	return nil
}

// Guards against requests to brittle replicas without a slot, slots that are not given back, and
// refusals that the issuer does not hear of.
func TestRequestToABrittleReplicaUsesOneSlot(t *testing.T) {
	for name, test := range map[string]struct {
		answer   forwardtest.Script
		ending   forward.Ending
		refusals int
	}{
		"answered": {answerBrittle, forward.EndedComplete, 0},
		"refused":  {refuseBrittle, forward.EndedRefused, 1},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				first := true
				list := replicas(func(c *forwardtest.Conn) bool {
					if first {
						first = false
						return answerBrittle(c)
					}
					return test.answer(c)
				})
				f := forwardtest.NewFleet(t, list...)
				var issuer slotIssuer
				f.Permits.SetAcquireFunc(issuer.ask)
				f.Permits.SetReportFunc("test", issuer.report, issuerName)
				serve(t, f, call(route.AtMostOnce, 1))
				if _, ending := serve(t, f, call(route.AtMostOnce, 1)); ending != test.ending {
					t.Errorf("ending %s, want %s", ending, test.ending)
				}
				time.Sleep(time.Second)
				issuer.mu.Lock()
				defer issuer.mu.Unlock()
				ended, refusals := make(map[uint64]int), 0
				for _, r := range issuer.reports {
					refusals += r.Refusals
					for _, id := range r.Ended {
						ended[id]++
					}
				}
				if len(issuer.asks) != requests(list)-1 || len(ended) != len(issuer.asks) {
					t.Errorf("%d asks and %d slots given back for %d requests after the first", len(issuer.asks), len(ended), requests(list)-1)
				}
				for _, ask := range issuer.asks {
					if ended[ask.ID] != 1 {
						t.Errorf("slot %d was given back %d times", ask.ID, ended[ask.ID])
					}
				}
				if min(refusals, 1) != test.refusals {
					t.Errorf("the issuer heard of %d refusals", refusals)
				}
			})
		})
	}
}

// Nodes refused calls though a slot would have been free a moment later.
func TestCallWaitsForASlotOfABrittleReplica(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(answerBrittle, answerBrittle, answerBrittle, answerBrittle, answerBrittle)
		f := forwardtest.NewFleet(t, list...)
		issuer := slotIssuer{onlyWaiting: true}
		f.Permits.SetAcquireFunc(issuer.ask)
		f.Permits.SetReportFunc("test", issuer.report, issuerName)
		for range 20 {
			asked := issuer.askCount()
			if _, ending := serve(t, f, call(route.AtMostOnce, 1)); ending != forward.EndedComplete {
				t.Fatalf("ending %s", ending)
			}
			if got := issuer.askCount() - asked; got > 4 {
				t.Errorf("%d slots were asked for", got)
			}
		}
		if issuer.askCount() == 0 {
			t.Error("no slot was asked for")
		}
		time.Sleep(time.Second)
	})
}
