package load

import "galenatrestle/internal/standin/engine"

// Demand returns the tokens a second that the requests ask for, on average
// over the workload's duration, resends left out.
func Demand(w *Workload, requests []Request) float64 {
	total := 0
	for _, r := range requests {
		total += wanted(w, r)
	}
	return float64(total) / w.Duration.Std().Seconds()
}

// wanted returns the length of the whole answer to one request, in tokens.
func wanted(w *Workload, r Request) int {
	switch {
	case r.Stream.Service != nil:
		return 0
	case r.MaxTokens > 0:
		return r.MaxTokens
	default:
		return engine.AnswerLength(r.Prompt, w.EngineSeed)
	}
}
