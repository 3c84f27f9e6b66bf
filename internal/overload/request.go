package overload

import "time"

// Request is what the decision needs to know.
type Request struct {
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Objective is the time within which the first token is on time; zero: none is
	// set, and the request is never too late.
	Objective time.Duration
	// TimeLeft is the time until the caller gives up or the route's timeout; zero: not
	// known.
	TimeLeft time.Duration
	// QueueTime is the expected time until the best replica begins to read the prompt,
	// and Own that for reading it.
	QueueTime  time.Duration
	OwnPrefill time.Duration
	// MemoryUsed is the part of that replica's memory that its requests take with
	// this one.
	MemoryUsed float64
}
