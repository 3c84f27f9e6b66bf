package gateway

import "galenatrestle/internal/refusal"

// sink takes an answer's events on their way to the caller.
type sink interface {
	// chunk passes one event's data on; the slice is only lent. Its error says
	// that the data is malformed.
	chunk(data []byte) error
	// reset forgets chunks of which the caller has seen nothing.
	reset()
	// end tells that the answer is whole. Its error says that the caller did
	// not get it.
	end() error
	// fail tells that there will be no whole answer.
	fail(refused *refusal.Error)
	// begun says whether a byte of the answer has reached the caller.
	begun() bool
}
