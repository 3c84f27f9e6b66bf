package gateway

import (
	"net/http"

	"galenatrestle/internal/refusal"
)

// onceHeaders are request headers that decide what happens to a request: one
// that is sent twice leaves it open which of the two counts.
var onceHeaders = []string{"Authorization", headerClass, headerTimeout, headerIdempotencyKey}

func checkOnce(r *http.Request) error {
	for _, name := range onceHeaders {
		if values := r.Header.Values(name); len(values) > 1 {
			value := values[1]
			if name == "Authorization" {
				value = ""
			}
			return refusal.BadField(name, value, "is sent more than once")
		}
	}
	return nil
}
