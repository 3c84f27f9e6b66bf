package claim

import "net/http"

// Answer is a recorded answer of an upstream.
type Answer struct {
	Status int
	// Header holds the kept headers only.
	Header http.Header
	Body   []byte
	// BodyDropped says that the body was not kept: it was over the bound, or
	// its retention has passed. The status is still the one of the run.
	BodyDropped bool
}
