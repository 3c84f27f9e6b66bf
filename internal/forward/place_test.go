package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/route"
)

func answerWithRateLimit(c *forwardtest.Conn) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\n%s: 1.5\r\nContent-Length: 4\r\n\r\ndone",
		forwardtest.HeaderID, forwardtest.HeaderStamp, forwardtest.HeaderRateLimit)
	return err == nil
}

// fakeIssuer grants or refuses permits and counts the requests for them.
type fakeIssuer struct {
	grants         bool
	err            error
	permitRequests int
}

func (f *fakeIssuer) ask(_ context.Context, _ ratelimit.Ask) (ratelimit.Grant, error) {
	f.permitRequests++
	return ratelimit.Grant{Granted: f.grants, RetryAfter: 800 * time.Millisecond}, f.err
}

func TestRateLimitedReplicaNeedsPermit(t *testing.T) {
	for name, test := range map[string]struct {
		issuer fakeIssuer
		runs   int
	}{
		"given":      {fakeIssuer{grants: true}, 4},
		"refused":    {fakeIssuer{}, 1},
		"unanswered": {fakeIssuer{err: errors.New("no answer")}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				list := replicas(answerWithRateLimit)
				f := forwardtest.NewFleet(t, list...)
				f.Permits.SetAcquireFunc(test.issuer.ask)
				serve(t, f, call(route.AtMostOnce, 1))
				for range 3 {
					w, ending := serve(t, f, call(route.AtMostOnce, 1))
					if test.runs > 1 && ending == forward.EndedComplete {
						continue
					}
					after, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
					if ending != forward.EndedRefused || w.Code != http.StatusServiceUnavailable || after <= 0 || after > 1.0/3 {
						t.Errorf("ending %s, status %d, Retry-After %g s with a deadline of 1 s", ending, w.Code, after)
					}
				}
				if got := requests(list); got != test.runs {
					t.Errorf("replica got %d requests, want %d", got, test.runs)
				}
				if test.runs == 1 && test.issuer.permitRequests != 1 {
					t.Errorf("%d permit requests within the retry delay of a refusal, want 1", test.issuer.permitRequests)
				}
			})
		})
	}
}

func TestOtherReplicaIsChosenWithoutPermit(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(answerWithRateLimit, answerOK)
		f := forwardtest.NewFleet(t, list...)
		var issuer fakeIssuer
		f.Permits.SetAcquireFunc(issuer.ask)
		for range 20 {
			if _, ending := serve(t, f, call(route.AtMostOnce, 1)); ending != forward.EndedComplete {
				t.Fatalf("ending %s", ending)
			}
		}
		limited := list[0]
		if _, found := f.Permits.Limits().Of(&limited.Replica); !found {
			limited = list[1]
		}
		if got := len(limited.Requests()); got != 1 {
			t.Errorf("rate-limited replica got %d requests, want 1", got)
		}
	})
}

// Guards against calls that wait for a permit issuer that does not respond.
func TestPermitWaitIsBounded(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		list := replicas(answerWithRateLimit, answerWithRateLimit, answerWithRateLimit, answerOK)
		f := forwardtest.NewFleet(t, list...)
		f.Permits.SetAcquireFunc(func(ctx context.Context, _ ratelimit.Ask) (ratelimit.Grant, error) {
			<-ctx.Done()
			return ratelimit.Grant{}, ctx.Err()
		})
		for range 20 {
			began := time.Now()
			if _, ending := serve(t, f, call(route.AtMostOnce, 1)); ending != forward.EndedComplete {
				t.Fatalf("ending %s", ending)
			}
			if took := time.Since(began); took > 150*time.Millisecond {
				t.Errorf("call took %s, want at most 150ms", took)
			}
		}
	})
}
