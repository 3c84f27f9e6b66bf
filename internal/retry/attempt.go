package retry

import "time"

// Attempt tells of a failed attempt and of its request as far as it has come.
type Attempt struct {
	Class    string
	Upstream string
	Result   Result
	// Peer is the replica's address, for the refusal.
	Peer string
	// Number counts the request's attempts so far, this one included.
	Number int
	// NotRunBefore is how many of the earlier attempts certainly did not run.
	NotRunBefore int
	// Repeatable says that running the call twice does no harm.
	Repeatable bool
	// DeliveredTokens is the number of tokens the caller has seen.
	DeliveredTokens int
	// Continuable says that an engine can go on from the delivered prefix.
	Continuable bool
	// Remaining is the time until an answer is of no more use.
	Remaining time.Duration
	// MinDuration is the least time another attempt takes; zero where unknown.
	MinDuration time.Duration
}

// mayHaveRun says whether any attempt so far may have run.
func (a Attempt) mayHaveRun() bool {
	return a.Result != NotRun || a.NotRunBefore < a.Number-1
}

// ran is the number of attempts that may have run.
func (a Attempt) ran() int {
	if a.Result == NotRun {
		return a.Number - a.NotRunBefore - 1
	}
	return a.Number - a.NotRunBefore
}
