package quota

import (
	"time"

	"galenatrestle/internal/refusal"
)

const (
	// defaultAnswerTokens is the expected answer length before a workspace's
	// first answer.
	defaultAnswerTokens = 256
	// meanWeight is the weight of a new answer in the moving average.
	meanWeight = 0.1
)

// Use is the estimated use of one request, in tokens.
type Use struct {
	Prompt float64
	Answer float64
}

// TakeAnswer charges one request to the workspace's quota, with its prompt and
// expected answer in tokens, or returns a refusal with the time after which to
// retry. The expected answer is the workspace's average, at most maxAnswer if
// that is above zero.
func (l *Limiter) TakeAnswer(now time.Time, workspace string, prompt, maxAnswer int) (Use, *refusal.Error) {
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	use := Use{Prompt: float64(prompt)}
	u, ok := s.usages[workspace]
	if !ok {
		return use, nil
	}
	use.Answer = u.expectedAnswer(maxAnswer)
	return use, u.takeOrRefuse(now, workspace, use.Prompt+use.Answer)
}

// Settle replaces a request's estimated tokens by the tokens used, at the end of
// the request. The bucket level may become negative. An answer of zero tokens
// does not change the average answer length.
func (l *Limiter) Settle(now time.Time, workspace string, taken Use, prompt, answer float64) {
	l.Correct(now, workspace, taken.Prompt+taken.Answer, prompt+answer)
	if answer <= 0 {
		return
	}
	s := l.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, ok := s.usages[workspace]; ok {
		u.updateMeanAnswer(answer)
	}
}

// expectedAnswer returns the expected answer length in tokens. A maxAnswer of
// zero means no maximum.
func (u *usage) expectedAnswer(maxAnswer int) float64 {
	expected := u.meanAnswer
	if expected == 0 {
		expected = defaultAnswerTokens
	}
	if maxAnswer > 0 {
		expected = min(expected, float64(maxAnswer))
	}
	return expected
}

func (u *usage) updateMeanAnswer(answer float64) {
	if u.meanAnswer == 0 {
		u.meanAnswer = answer
		return
	}
	u.meanAnswer += meanWeight * (answer - u.meanAnswer)
}
