package estimate

import "time"

// speedWeight is the weight of one observation in the running average.
const speedWeight = 0.02

// Speed keeps how fast a pool's usual replica works as seen by the node:
// prefill by prompt token, and time between tokens, both in seconds.
type Speed struct {
	prefill float64
	token   float64
}

// ObservePrefill takes in the time from binding to the first token of a prompt that
// was not cached.
func (s *Speed) ObservePrefill(promptTokens int, took time.Duration) {
	if promptTokens <= 0 {
		return
	}
	observed := took.Seconds() / float64(promptTokens)
	if s.prefill == 0 {
		s.prefill = observed
		return
	}
	s.prefill += speedWeight * (observed - s.prefill)
}

// SetTokenTime sets the time between tokens in seconds.
func (s *Speed) SetTokenTime(seconds float64) { s.token = seconds }

// ServiceTime estimates the time for a prompt and an answer of the given lengths;
// zero while nothing was seen.
func (s *Speed) ServiceTime(promptTokens int, answerTokens float64) time.Duration {
	seconds := s.prefill*float64(promptTokens) + s.token*answerTokens
	return time.Duration(seconds * float64(time.Second))
}
