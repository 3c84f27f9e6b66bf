package platform

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/httpstore"
	"galenatrestle/internal/platform/memstore"
)

// both are the interfaces that every implementation has.
type both interface {
	platform.Store
	platform.Instances
	platform.Weights
}

// serve starts the stand-in and returns its store, a client and the URL of its
// switches.
func serve(t *testing.T, config memstore.Config) (*memstore.Store, *httpstore.Client, string) {
	t.Helper()
	store := memstore.New(config)
	mux := http.NewServeMux()
	mux.Handle("/platform/", API(store))
	mux.Handle("/standin/", Switches("p", store))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client := httpstore.New(httpstore.Config{Address: server.Listener.Addr().String(), Timeout: time.Minute})
	t.Cleanup(client.Close)
	return store, client, server.URL + "/standin/p"
}

// outcome is all that a call gave.
type outcome struct {
	value any
	err   string
}

// kind names an error by what errors.Is and errors.As find in it.
func kind(err error) string {
	var conflict *platform.ConflictError
	var held *platform.HeldError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &conflict):
		return conflict.Error()
	case errors.As(err, &held):
		return held.Error()
	}
	for _, sentinel := range []error{platform.ErrNotFound, platform.ErrRateLimited, platform.ErrTooLarge, platform.ErrUnavailable} {
		if errors.Is(err, sentinel) {
			return sentinel.Error()
		}
	}
	return "refused"
}

// script makes one call of every kind and outcome and returns what they gave.
func script(t *testing.T, s both) []outcome {
	ctx := t.Context()
	var got []outcome
	note := func(value any, err error) { got = append(got, outcome{value, kind(err)}) }
	note(s.CompareAndSwap(ctx, "a", 0, []byte("one")))
	note(s.CompareAndSwap(ctx, "a", 0, []byte("two")))
	note(s.CompareAndSwap(ctx, "over", 0, make([]byte, platform.MaxValueBytes+1)))
	note(s.CompareAndSwap(ctx, "far over", 0, make([]byte, 4*platform.MaxValueBytes)))
	note(s.Get(ctx, "a"))
	note(s.Get(ctx, "none"))
	entries, revision, err := s.List(ctx, "")
	note(entries, err)
	note(revision, nil)
	note(s.Watch(ctx, "", 0, 0))
	note(s.Watch(ctx, "", 9, 0))
	note(nil, s.Delete(ctx, "a", 1))
	note(nil, s.Delete(ctx, "a", 1))
	lease, err := s.Acquire(ctx, "l", "h", time.Hour)
	note(lease, err)
	note(s.Acquire(ctx, "l", "other", time.Hour))
	note(s.Acquire(ctx, "bad", "h", 0))
	note(s.Renew(ctx, lease))
	note(nil, s.Release(ctx, lease))
	note(s.Renew(ctx, lease))
	note(s.Instances(ctx))
	note(nil, s.Reserve(ctx, "m", "1"))
	note(nil, s.Reserve(ctx, "m", "1"))
	return got
}

func TestClientGivesWhatTheStoreGives(t *testing.T) {
	instances := []platform.Instance{{Name: "vm", Address: "10.0.0.1:80", AvailabilityZone: "z", State: platform.InstanceLeaving}}
	config := memstore.Config{WeightsPerSecond: 0.001}
	direct := memstore.New(config)
	direct.SetInstances(instances)
	behind, client, _ := serve(t, config)
	behind.SetInstances(instances)
	want := script(t, direct)
	got := script(t, client)
	for i := range want {
		if !reflect.DeepEqual(got[i], want[i]) {
			t.Errorf("call %d: got %+v, want %+v", i, got[i], want[i])
		}
	}
}

func TestLostAnswerIsUnavailable(t *testing.T) {
	store, client, _ := serve(t, memstore.Config{})
	if err := store.Inject(memstore.Fault{Kind: memstore.LostAnswer, Factor: 1}); err != nil {
		t.Fatal(err)
	}
	_, err := client.CompareAndSwap(t.Context(), "a", 0, []byte("x"))
	if !errors.Is(err, platform.ErrUnavailable) || !strings.Contains(err.Error(), "compare_and_swap") {
		t.Errorf("got %v", err)
	}
	if entry, err := client.Get(t.Context(), "a"); err != nil || entry.Revision != 1 {
		t.Errorf("the write did not take effect: %+v, %v", entry, err)
	}
	if calls := store.Calls()[platform.CallCompareAndSwap].Calls; calls != 1 {
		t.Errorf("the write was sent %d times", calls)
	}
}

func TestUnknownPeerIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	client := httpstore.New(httpstore.Config{Address: server.Listener.Addr().String()})
	defer client.Close()
	if _, err := client.Get(t.Context(), "a"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("a 404 of another service: got %v", err)
	}
}

func TestSwitches(t *testing.T) {
	store, client, url := serve(t, memstore.Config{})
	tests := []struct {
		method, path, body string
		status, on         int
	}{
		{"POST", "/fault", `{"kind":"down","for":"1h"}`, 200, 1},
		{"POST", "/fault", `{"kind":"slow","factor":1}`, 200, 2},
		{"POST", "/fault", `{"kind":"straggler"}`, 400, 2},
		{"POST", "/fault", `{"kind":"down","until":"x"}`, 400, 2},
		{"DELETE", "/fault?kind=slow", ``, 204, 1},
		{"DELETE", "/fault", ``, 204, 0},
		{"PUT", "/instances", `{"instances":[{"name":"vm"}]}`, 204, 0},
		{"GET", "/calls", ``, 200, 0},
	}
	for _, test := range tests {
		request, err := http.NewRequestWithContext(t.Context(), test.method, url+test.path, bytes.NewReader([]byte(test.body)))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if on := len(store.Faults()); response.StatusCode != test.status || on != test.on {
			t.Errorf("%s %s %s: status %d with %d faults on", test.method, test.path, test.body, response.StatusCode, on)
		}
	}
	if instances, err := client.Instances(t.Context()); err != nil || len(instances) != 1 {
		t.Errorf("instances %v, %v", instances, err)
	}
}
