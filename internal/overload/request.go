package overload

import "time"

// Request is the input of an admission decision.
type Request struct {
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Objective is the target for the time to first token. A request without one, zero, is
	// never refused as TooLate.
	Objective time.Duration
	// TimeLeft is the time until the request's deadline; zero: not known.
	TimeLeft time.Duration
	// QueueTime is the expected time until the chosen replica starts the prefill, and
	// OwnPrefill the expected duration of the prefill.
	QueueTime  time.Duration
	OwnPrefill time.Duration
	// Share is the fair part of the request's workspace divided by its part of the upstream's recent use.
	// Below 1 the workspace is above its share, and the allowed queue time is multiplied by the share.
	// Zero counts as 1.
	Share float64
	// Returned is whether the caller was refused before and returns as it was told.
	Returned bool
	// Reserved is the time for which returning callers of the rank will soon keep the upstream busy. It
	// does not count for a request that Returned.
	Reserved time.Duration
	// MemoryUsed is the fraction of the chosen replica's memory that its requests and
	// this one take.
	MemoryUsed float64
}
