package claim

import "net/http"

// Answer is an upstream response that the ledger records for repeats.
type Answer struct {
	Status int
	// Header contains only the headers selected for retention.
	Header http.Header
	Body   []byte
	// BodyDropped reports that only the status is retained, because the answer exceeded
	// the size limit, its retention has expired, or the ledger was nearly full.
	BodyDropped bool
}
