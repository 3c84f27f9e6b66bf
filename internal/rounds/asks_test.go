package rounds

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// handled is one call of HandleResponse.
type handled struct {
	owner    string
	response int
	err      error
}

func TestOwnerIsInFlightUntilResponseIsHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []handled
		asks := &OwnerClient[int, int]{
			Self:        "vm-0",
			HandleLocal: func(n int) int { return n + 1 },
			Call: func(_ context.Context, address string, n int) (int, error) {
				time.Sleep(time.Second)
				if address == "cut:1" {
					return 0, errors.New("connection refused")
				}
				return 10 * n, nil
			},
		}
		asks.HandleResponse = func(owner string, _, answer int, err error) {
			if owner != asks.Self && !asks.InFlight()[owner] {
				t.Errorf("%s is not in flight while its response is handled", owner)
			}
			got = append(got, handled{owner, answer, err})
		}
		asks.Send(t.Context(), "vm-0", "", 4)
		if len(got) != 1 || got[0] != (handled{owner: "vm-0", response: 5}) || len(asks.InFlight()) != 0 {
			t.Fatalf("handled %v, in flight %v", got, asks.InFlight())
		}
		asks.Send(t.Context(), "vm-1", "peer:1", 4)
		asks.Send(t.Context(), "vm-2", "cut:1", 4)
		if busy := asks.InFlight(); !busy["vm-1"] || !busy["vm-2"] {
			t.Errorf("in flight during the calls: %v", busy)
		}
		asks.Wait()
		if busy := asks.InFlight(); len(busy) != 0 {
			t.Errorf("in flight after the calls: %v", busy)
		}
		for _, one := range got[1:] {
			if failed := one.owner == "vm-2"; failed != (one.err != nil) || !failed && one.response != 40 {
				t.Errorf("handled %+v", one)
			}
		}
	})
}
