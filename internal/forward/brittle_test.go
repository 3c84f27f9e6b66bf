package forward_test

import (
	"context"
	"fmt"
	"net/http/httptest"
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

// leavingIssuer has the call's caller leave while a slot is asked for. It grants the first asks, and one of very many, which
// ends a loop of asks.
type leavingIssuer struct {
	leave  func()
	grants int
	asks   int
}

func (i *leavingIssuer) ask(ctx context.Context, _ ratelimit.Ask) (ratelimit.Grant, error) {
	i.asks++
	if i.asks <= i.grants || i.asks > 100 {
		return ratelimit.Grant{Granted: true}, nil
	}
	i.leave()
	<-ctx.Done()
	return ratelimit.Grant{}, ctx.Err()
}

// Guards against calls that take a whole processor: one whose caller had left asked for slots without an end.
func TestCallWhoseCallerHasLeftAsksForNoFurtherSlot(t *testing.T) {
	for name, test := range map[string]struct {
		repeat   route.Repeat
		grants   int
		notice   forwardtest.Script
		requests int
	}{
		"first attempt":               {route.AtMostOnce, 0, answerBrittle, 3},
		"beside a silent replica":     {route.Idempotent, 1, answerBrittle, 4},
		"first attempt, rate limited": {route.AtMostOnce, 0, answerWithRateLimit, 3},
	} {
		t.Run(name, func(t *testing.T) {
			runSilent(t, func(t *testing.T) {
				first := func(c *forwardtest.Conn) bool {
					if c.Number > 1 {
						return neverAnswer(c)
					}
					return test.notice(c)
				}
				list := replicas(first, first, first)
				f := forwardtest.NewFleet(t, list...)
				f.Permits.SetAcquireFunc((&leavingIssuer{grants: len(list)}).ask)
				f.Permits.SetReportFunc("vm-1", (&slotIssuer{}).report, issuerName)
				for _, r := range list {
					f.SetReplicas(r)
					serve(t, f, call(route.AtMostOnce, 1))
				}
				f.SetReplicas(list...)
				time.Sleep(time.Second)
				ctx, leave := context.WithCancel(t.Context())
				issuer := &leavingIssuer{leave: leave, grants: test.grants}
				f.Permits.SetAcquireFunc(issuer.ask)
				c := patientCall(test.repeat)
				now := time.Now()
				c.Arrived, c.Deadline = now, now.Add(10*time.Second)
				ending := f.Serve(ctx, httptest.NewRecorder(), c)
				if ending != forward.EndedCallerGone || issuer.asks != test.grants+1 || requests(list) != test.requests {
					t.Errorf("ending %s, %d asks, %d requests", ending, issuer.asks, requests(list))
				}
			})
		})
	}
}
