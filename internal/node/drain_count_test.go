package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A node that was drained seemed to have a request in flight whenever a caller asked it for the entries.
func TestLookupsAreNoRequestsInFlight(t *testing.T) {
	for request, want := range map[string]int64{
		"GET /entries": 0, "GET /entries?availability_zone=hall-a": 0, "GET /v1/models": 0,
		"POST /v1/chat/completions": 1, "GET /requests/r-1/stream": 1, "GET /services/parts/entries": 1,
	} {
		d := &drains{}
		seen := int64(-1)
		handler := d.count(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen = d.inFlight.Load() }))
		method, target, _ := strings.Cut(request, " ")
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(method, target, nil))
		if seen != want {
			t.Errorf("%s: %d requests in flight, want %d", request, seen, want)
		}
		if left := d.inFlight.Load(); left != 0 {
			t.Errorf("%s: %d requests in flight afterwards", request, left)
		}
	}
}
