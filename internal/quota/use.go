package quota

import (
	"time"

	"galenatrestle/internal/refusal"
)

const (
	// firstAnswer is the answer's length, in tokens, taken for a workspace of
	// which no answer has been seen.
	firstAnswer = 256
	// learnPart is how much of a new answer's length goes into the mean.
	learnPart = 0.1
)

// Use is what one request was taken to use, in tokens.
type Use struct {
	Prompt float64
	Answer float64
}

// TakeAnswer takes one request from the workspace's quota, with its prompt and
// the answer to expect: the workspace's mean so far, at most maxAnswer tokens
// where that is above zero. Or it refuses with the time until it would fit.
func (l *Limiter) TakeAnswer(now time.Time, workspace string, prompt, maxAnswer int) (Use, *refusal.Error) {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	use := Use{Prompt: float64(prompt)}
	u, ok := s.usages[workspace]
	if !ok {
		return use, nil
	}
	use.Answer = u.expect(maxAnswer)
	return use, u.takeOrRefuse(now, workspace, use.Prompt+use.Answer)
}

// Settle puts the tokens that were used in place of those taken, at the end of
// a request. Used more than taken goes into debt. An answer of zero tokens is
// not learned from.
func (l *Limiter) Settle(now time.Time, workspace string, taken Use, prompt, answer float64) {
	l.Correct(now, workspace, taken.Prompt+taken.Answer, prompt+answer)
	if answer <= 0 {
		return
	}
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, ok := s.usages[workspace]; ok {
		u.learn(answer)
	}
}

// expect returns the length to expect of an answer.
func (u *usage) expect(maxAnswer int) float64 {
	expected := u.answer
	if expected == 0 {
		expected = firstAnswer
	}
	if maxAnswer > 0 {
		expected = min(expected, float64(maxAnswer))
	}
	return expected
}

func (u *usage) learn(answer float64) {
	if u.answer == 0 {
		u.answer = answer
		return
	}
	u.answer += learnPart * (answer - u.answer)
}
