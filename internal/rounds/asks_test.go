package rounds

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// taken is what an Asks took in.
type taken struct {
	owner  string
	answer int
	err    error
}

func TestAnOwnerIsBusyUntilItsAnswerIsTakenIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []taken
		asks := &OwnerClient[int, int]{
			Self:        "vm-0",
			HandleLocal: func(n int) int { return n + 1 },
			Call: func(_ context.Context, address string, n int) (int, error) {
				time.Sleep(time.Second)
				if address == "cut:1" {
					return 0, errors.New("no answer")
				}
				return 10 * n, nil
			},
		}
		asks.HandleResponse = func(owner string, _, answer int, err error) {
			if owner != asks.Self && !asks.InFlight()[owner] {
				t.Errorf("%s is free before its answer is taken in", owner)
			}
			got = append(got, taken{owner, answer, err})
		}
		asks.Send(t.Context(), "vm-0", "", 4)
		if len(got) != 1 || got[0] != (taken{owner: "vm-0", answer: 5}) || len(asks.InFlight()) != 0 {
			t.Fatalf("took %v, busy %v", got, asks.InFlight())
		}
		asks.Send(t.Context(), "vm-1", "peer:1", 4)
		asks.Send(t.Context(), "vm-2", "cut:1", 4)
		if busy := asks.InFlight(); !busy["vm-1"] || !busy["vm-2"] {
			t.Errorf("busy %v during the calls", busy)
		}
		asks.Wait()
		if busy := asks.InFlight(); len(busy) != 0 {
			t.Errorf("busy %v after the calls", busy)
		}
		for _, one := range got[1:] {
			if failed := one.owner == "vm-2"; failed != (one.err != nil) || !failed && one.answer != 40 {
				t.Errorf("took %+v", one)
			}
		}
	})
}
