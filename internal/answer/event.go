package answer

// Event is one part of an answer.
type Event struct {
	// ID counts from 1 within the answer.
	ID int64
	// Data is an SSE payload or a whole body. It must not be changed.
	Data []byte
}

// eventOverhead is what an event that waits for an earlier one costs in memory
// beside its data, in bytes.
const eventOverhead = 48
