package rounds

import (
	"context"
	"errors"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
)

// handled is one call of HandleResponse.
type handled struct {
	owner    string
	response int
	err      error
}

func TestOwnerIsInFlightUntilResponseIsHandled(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		var got []handled
		client := &OwnerClient[int, int]{
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
		client.HandleResponse = func(owner string, _, response int, err error) {
			if owner != client.Self && !client.InFlight()[owner] {
				t.Errorf("%s is not in flight while its response is handled", owner)
			}
			got = append(got, handled{owner, response, err})
		}
		client.Send(t.Context(), "vm-0", "", 4)
		if len(got) != 1 || got[0] != (handled{owner: "vm-0", response: 5}) || len(client.InFlight()) != 0 {
			t.Fatalf("handled %v, in flight %v", got, client.InFlight())
		}
		client.Send(t.Context(), "vm-1", "peer:1", 4)
		client.Send(t.Context(), "vm-2", "cut:1", 4)
		if inFlight := client.InFlight(); !inFlight["vm-1"] || !inFlight["vm-2"] {
			t.Errorf("in flight during the calls: %v", inFlight)
		}
		client.Wait()
		if inFlight := client.InFlight(); len(inFlight) != 0 {
			t.Errorf("in flight after the calls: %v", inFlight)
		}
		for _, call := range got[1:] {
			if failed := call.owner == "vm-2"; failed != (call.err != nil) || !failed && call.response != 40 {
				t.Errorf("handled %+v", call)
			}
		}
	})
}
