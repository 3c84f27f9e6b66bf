package retry

import "time"

// Attempt describes a failed attempt and the state of its request.
type Attempt struct {
	Class    string
	Upstream string
	Result   Result
	// Peer is the replica's address, reported in the refusal.
	Peer string
	// Number is the number of attempts so far, including this one.
	Number int
	// NotRunBefore is the number of earlier attempts known not to have run.
	NotRunBefore int
	// Repeatable reports that running the call twice is safe.
	Repeatable bool
	// DeliveredTokens is the number of tokens already sent to the caller.
	DeliveredTokens int
	// Continuable reports that an engine can resume from the delivered prefix.
	Continuable bool
	// Remaining is the time until an answer is no longer useful.
	Remaining time.Duration
	// MinDuration is the minimum duration of another attempt; zero if unknown.
	MinDuration time.Duration
}

// mayHaveRun reports whether this or an earlier attempt may have run.
func (a Attempt) mayHaveRun() bool {
	return a.Result != NotRun || a.NotRunBefore < a.Number-1
}

// possibleRuns returns the number of attempts so far that may have run.
func (a Attempt) possibleRuns() int {
	if a.Result == NotRun {
		return a.Number - a.NotRunBefore - 1
	}
	return a.Number - a.NotRunBefore
}
