package estimate

import "time"

// speedWeight is the weight of one observation in the running averages.
const speedWeight = 0.02

// Speed keeps running averages of how fast a pool's replicas work as seen by
// the node: prefill by prompt token, and time between tokens.
type Speed struct {
	prefill float64
	token   float64
}

// Prefill takes in the time from binding to the first token.
func (s *Speed) Prefill(promptTokens int, took time.Duration) {
	if promptTokens > 0 {
		s.prefill = mix(s.prefill, took.Seconds()/float64(promptTokens))
	}
}

// Tokens takes in the time that n tokens took.
func (s *Speed) Tokens(n int, took time.Duration) {
	if n > 0 {
		s.token = mix(s.token, took.Seconds()/float64(n))
	}
}

func mix(average, observed float64) float64 {
	if average == 0 {
		return observed
	}
	return average + speedWeight*(observed-average)
}

// Service estimates the time for a prompt and an answer of the given lengths;
// zero while nothing was seen.
func (s *Speed) Service(promptTokens int, answerTokens float64) time.Duration {
	seconds := s.prefill*float64(promptTokens) + s.token*answerTokens
	return time.Duration(seconds * float64(time.Second))
}
