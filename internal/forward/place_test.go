package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/route"
)

// answerWithRate is a whole answer that names a rate.
func answerWithRate(c *forwardtest.Conn) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: c1\r\n%s: s1\r\n%s: 1.5\r\nContent-Length: 4\r\n\r\ndone",
		forwardtest.HeaderID, forwardtest.HeaderStamp, forwardtest.HeaderRateLimit)
	return err == nil
}

// askCounter answers asks for permits, and counts them.
type askCounter struct {
	given bool
	err   error
	asks  int
}

func (a *askCounter) ask(_ context.Context, l ratelimit.Limit) (ratelimit.Grant, error) {
	a.asks++
	return ratelimit.Grant{Given: a.given, RetryAfter: 800 * time.Millisecond}, a.err
}

func TestARequestToAReplicaThatNamesARateNeedsAPermit(t *testing.T) {
	for name, test := range map[string]struct {
		issuer askCounter
		runs   int
	}{
		"given":      {askCounter{given: true}, 4},
		"refused":    {askCounter{}, 1},
		"unanswered": {askCounter{err: errors.New("no answer")}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := replicas(answerWithRate)
				f := forwardtest.NewFleet(t, list...)
				f.Permits.SetAsk(test.issuer.ask)
				serve(t, f, call(route.AtMostOnce, 1))
				for range 3 {
					w, ending := serve(t, f, call(route.AtMostOnce, 1))
					if test.runs > 1 && ending == forward.EndedComplete {
						continue
					}
					after, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
					if ending != forward.EndedRefused || w.Code != http.StatusServiceUnavailable || after <= 0 || after > 1.0/3 {
						t.Errorf("ending %s, status %d, to return after %g s of the second it has", ending, w.Code, after)
					}
				}
				if got := requests(list); got != test.runs {
					t.Errorf("the replica got %d requests, want %d", got, test.runs)
				}
				if test.runs == 1 && test.issuer.asks != 1 {
					t.Errorf("%d asks within the pause after a refusal", test.issuer.asks)
				}
			})
		})
	}
}

func TestWithoutAPermitAnotherReplicaIsTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := replicas(answerWithRate, answerOK)
		f := forwardtest.NewFleet(t, list...)
		var issuer askCounter
		f.Permits.SetAsk(issuer.ask)
		for range 20 {
			if _, ending := serve(t, f, call(route.AtMostOnce, 1)); ending != forward.EndedComplete {
				t.Fatalf("ending %s", ending)
			}
		}
		limited := list[0]
		if _, is := f.Permits.Limits()[limited.ID]; !is {
			limited = list[1]
		}
		if got := len(limited.Requests()); got != 1 {
			t.Errorf("the replica that names a rate got %d requests", got)
		}
	})
}

// An issuer that does not answer must not keep a request for long.
func TestARequestWaitsForPermitsForAShortTimeOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := replicas(answerWithRate, answerWithRate, answerWithRate, answerOK)
		f := forwardtest.NewFleet(t, list...)
		f.Permits.SetAsk(func(ctx context.Context, _ ratelimit.Limit) (ratelimit.Grant, error) {
			<-ctx.Done()
			return ratelimit.Grant{}, ctx.Err()
		})
		for range 20 {
			began := time.Now()
			if _, ending := serve(t, f, call(route.AtMostOnce, 1)); ending != forward.EndedComplete {
				t.Fatalf("ending %s", ending)
			}
			if took := time.Since(began); took > 150*time.Millisecond {
				t.Errorf("a request waited for %s", took)
			}
		}
	})
}
