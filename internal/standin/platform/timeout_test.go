package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/httpstore"
	"galenatrestle/internal/platform/memstore"
)

// direct hands requests to a handler without a network, so that time can be
// synthetic. A request whose context ends has no answer.
type direct struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	answered := make(chan *http.Response, 1)
	go func() {
		defer close(answered)
		defer func() { _ = recover() }() // http.ErrAbortHandler: no answer
		recorder := httptest.NewRecorder()
		d.handler.ServeHTTP(recorder, r)
		answered <- recorder.Result()
	}()
	select {
	case response, ok := <-answered:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

func TestTimeouts(t *testing.T) {
	const timeout = 2 * time.Second
	tests := []struct {
		name  string
		slow  float64
		wait  time.Duration
		took  time.Duration
		fails bool
	}{
		{name: "slow but in time", slow: 1500, took: 1500 * time.Millisecond},
		{name: "too slow", slow: 5000, took: timeout, fails: true},
		{name: "long wait", wait: time.Minute, took: time.Minute},
		{name: "long wait, too slow", slow: 70_000, wait: time.Minute, took: time.Minute + timeout, fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				store := memstore.New(memstore.Config{})
				client := httpstore.New(httpstore.Config{Timeout: timeout, Transport: direct{API(store)}})
				if err := store.Inject(memstore.Fault{Kind: memstore.Slow, Factor: test.slow}); err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				_, err := client.Watch(t.Context(), "", 0, test.wait)
				if took := time.Since(start); took != test.took {
					t.Errorf("took %v, want %v", took, test.took)
				}
				if failed := errors.Is(err, platform.ErrUnavailable) && errors.Is(err, context.DeadlineExceeded); failed != test.fails || (err != nil) != test.fails {
					t.Errorf("got %v", err)
				}
			})
		})
	}
}
