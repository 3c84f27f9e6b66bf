package estimate

import "time"

// speedWeight is the weight of one observation in the exponential moving average.
const speedWeight = 0.02

// Speed is the typical speed of an upstream's replicas as observed by this node.
type Speed struct {
	secondsPerPromptToken float64
	secondsPerAnswerToken float64
}

// ObservePrefill records the time from binding a request to its first token, for a prompt that
// was not cached.
func (s *Speed) ObservePrefill(promptTokens int, took time.Duration) {
	if promptTokens <= 0 {
		return
	}
	observed := took.Seconds() / float64(promptTokens)
	if s.secondsPerPromptToken == 0 {
		s.secondsPerPromptToken = observed
		return
	}
	s.secondsPerPromptToken += speedWeight * (observed - s.secondsPerPromptToken)
}

// SetTokenTime sets the time between tokens, in seconds.
func (s *Speed) SetTokenTime(seconds float64) { s.secondsPerAnswerToken = seconds }

// ServiceTime estimates the time to serve a prompt and an answer of the given lengths in
// tokens; zero while nothing was observed.
func (s *Speed) ServiceTime(promptTokens int, answerTokens float64) time.Duration {
	seconds := s.secondsPerPromptToken*float64(promptTokens) + s.secondsPerAnswerToken*answerTokens
	return time.Duration(seconds * float64(time.Second))
}
