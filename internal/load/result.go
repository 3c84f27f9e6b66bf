package load

import "time"

// Result is what became of one request after all its attempts.
type Result struct {
	Request *Request
	// Attempts counts the times it was sent.
	Attempts int
	// Last is the attempt that ended it.
	Last Attempt
	// Wrong tells what is wrong with a whole answer; empty where it is right.
	Wrong string
	// FirstToken and Answer are counted from the planned time of arrival.
	FirstToken time.Duration
	Answer     time.Duration
	Tokens     int
	// NotRun holds the request ids of the attempts said to be not run.
	NotRun []string
	// Late is how long after its planned time it was first sent.
	Late time.Duration
}

// answered says whether the caller got the whole right answer.
func (r *Result) answered() bool { return r.Last.Ending == EndingWhole && r.Wrong == "" }

// label names the end of the request as the report lists it.
func (r *Result) label() string {
	if r.Last.Ending == EndingRefused && r.Last.Reason != "" {
		return r.Last.Reason
	}
	if r.Last.Ending == EndingWhole && r.Wrong != "" {
		return "wrong-answer"
	}
	return string(r.Last.Ending)
}
