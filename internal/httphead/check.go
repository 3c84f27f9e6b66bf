package httphead

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// lowestStatus is the first status of HTTP.
const lowestStatus = http.StatusContinue

// maxQuoted bounds in bytes what an error quotes of a head.
const maxQuoted = 80

// Error names what breaks the protocol in the head of a response.
type Error struct {
	// Part is the part of the head, Value what it holds.
	Part, Value string
}

func (e *Error) Error() string {
	return fmt.Sprintf("head of the response is not HTTP: %s %.*q", e.Part, maxQuoted, e.Value)
}

// Check returns an *Error if the response's version, status or the name of a field is none of HTTP/1. A switch of
// protocols counts as one as well: the project's requests ask for none.
func Check(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return &Error{Part: "version", Value: r.Proto}
	case r.StatusCode < lowestStatus, r.StatusCode == http.StatusSwitchingProtocols:
		return &Error{Part: "status", Value: r.Status}
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{Part: "field name", Value: name}
		}
	}
	return nil
}
