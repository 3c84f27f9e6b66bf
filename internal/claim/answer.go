package claim

import "net/http"

// Answer is an upstream response that the ledger records for repeats.
type Answer struct {
	Status int
	// Header contains only the headers selected for retention.
	Header http.Header
	Body   []byte
	// BodyDropped reports that the body was not retained, because it exceeded the size
	// limit or its retention has expired. Status is still that of the recorded response.
	BodyDropped bool
}
