package route

import "time"

// Repeat says what may be done a second time with a request.
type Repeat string

// The kinds of requests.
const (
	// Idempotent requests may run any number of times.
	Idempotent Repeat = "idempotent"
	// AtMostOnce requests run once or not at all.
	AtMostOnce Repeat = "at_most_once"
	// ResumableStream answers may be continued by another replica after the
	// last event that was delivered whole.
	ResumableStream Repeat = "resumable_stream"
)

// Route is one rule of the table.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Streaming answers are sequences of events.
	Streaming bool
	// Timeout bounds the time a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first
	// event, is on time.
	Objective time.Duration
	// MaxPause is the longest pause between events of a stream on time; zero
	// where the operator sets none.
	MaxPause time.Duration
	// Tier is the rank; 0 is the highest.
	Tier int
	// Targets are the upstreams by weight; there is at least one.
	Targets []Target
	// MaxAttempts bounds the replicas on which one request may run.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// PrefixAffinity says that requests carry prompt parts that replicas cache.
	PrefixAffinity bool
}

// MayRunAgain says whether a second run of the whole request does no harm, as
// long as the caller has seen nothing of the first one's answer.
func (r *Route) MayRunAgain() bool { return r.Repeat != AtMostOnce }

// Target is one upstream of a route.
type Target struct {
	Upstream string
	Weight   int
}

// Pick returns the upstream for a random value in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := random * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Upstream
		}
	}
	return r.Targets[len(r.Targets)-1].Upstream
}
