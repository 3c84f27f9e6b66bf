package gateway

import (
	"net/http"
	"testing"
)

func TestDecidingHeadersAreTakenOnce(t *testing.T) {
	for _, name := range onceHeaders {
		r := &http.Request{Header: http.Header{}}
		r.Header.Add(name, "a")
		if err := checkOnce(r); err != nil {
			t.Errorf("%s once: %v", name, err)
		}
		r.Header.Add(name, "a")
		refusedClearly(t, checkOnce(r))
	}
}
