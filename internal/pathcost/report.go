package pathcost

import (
	"fmt"
	"io"
	"time"
)

// Report compares the two ways.
type Report struct {
	Options Options
	Direct  Sample
	Through Sample
}

// AddedCPUPerToken is the processor time a token that the node and the further
// hop cost.
func (r Report) AddedCPUPerToken() time.Duration {
	return perToken(r.Through) - perToken(r.Direct)
}

// AddedAnswerP99 is the difference of the 99th percentiles of the answer time.
func (r Report) AddedAnswerP99() time.Duration { return r.Through.AnswerP99 - r.Direct.AnswerP99 }

// AddedFirstP99 is the difference of the 99th percentiles of the first token.
func (r Report) AddedFirstP99() time.Duration { return r.Through.FirstP99 - r.Direct.FirstP99 }

func perToken(s Sample) time.Duration {
	if s.Tokens == 0 {
		return 0
	}
	return s.CPU / time.Duration(s.Tokens)
}

// Print writes the comparison as a table.
func (r Report) Print(w io.Writer) {
	o := r.Options
	fmt.Fprintf(w, "%.0f requests/s open loop, %d tokens each, %d engines, %s each way\n\n", o.Rate, o.Tokens, o.Engines, o.Duration)
	fmt.Fprintf(w, "%-28s %12s %12s %12s\n", "", "direct", "through", "added")
	row := func(name string, direct, through time.Duration) {
		fmt.Fprintf(w, "%-28s %12s %12s %12s\n", name, direct, through, through-direct)
	}
	row("first token p50", r.Direct.FirstP50, r.Through.FirstP50)
	row("first token p99", r.Direct.FirstP99, r.Through.FirstP99)
	row("answer p50", r.Direct.AnswerP50, r.Through.AnswerP50)
	row("answer p99", r.Direct.AnswerP99, r.Through.AnswerP99)
	row("processor time a token", perToken(r.Direct), perToken(r.Through))
	fmt.Fprintf(w, "%-28s %12.1f %12.1f %12.1f\n", "allocations a token",
		allocations(r.Direct), allocations(r.Through), allocations(r.Through)-allocations(r.Direct))
	fmt.Fprintf(w, "%-28s %12d %12d\n", "requests answered", r.Direct.Requests-r.Direct.Failed, r.Through.Requests-r.Through.Failed)
	fmt.Fprintf(w, "%-28s %12d %12d\n", "requests failed", r.Direct.Failed, r.Through.Failed)
	fmt.Fprintf(w, "%-28s %12.3f\n", "throughput ratio", r.throughputRatio())
}

// throughputRatio is tokens a second through the node over tokens a second direct.
func (r Report) throughputRatio() float64 {
	direct := float64(r.Direct.Tokens) / r.Direct.Elapsed.Seconds()
	return float64(r.Through.Tokens) / r.Through.Elapsed.Seconds() / direct
}

func allocations(s Sample) float64 {
	if s.Tokens == 0 {
		return 0
	}
	return float64(s.Allocations) / float64(s.Tokens)
}
