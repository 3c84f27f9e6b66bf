package engine

import (
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The distribution of answer lengths without max_tokens is log-normal.
const (
	medianAnswerTokens = 60
	answerSigma        = 1.0
	maxAnswerTokens    = 2000
)

// emptyPromptWord stands in for the words of a prompt that has none.
const emptyPromptWord = "empty"

// ExpectedAnswer returns the whole answer to a prompt (the last user message,
// or the prompt of a text completion) of an engine with seed zero. maxTokens
// zero means that the request had no max_tokens.
func ExpectedAnswer(prompt string, maxTokens int) string {
	return ExpectedAnswerSeeded(prompt, maxTokens, 0)
}

// ExpectedAnswerSeeded is ExpectedAnswer for engines with another seed.
func ExpectedAnswerSeeded(prompt string, maxTokens int, seed uint64) string {
	words := promptWords(prompt)
	total := maxTokens
	if total <= 0 {
		total = AnswerLength(prompt, seed)
	}
	var b strings.Builder
	for i := range total {
		b.WriteString(answerPiece(words, i))
	}
	return b.String()
}

// AnswerLength returns the number of words of the answer to a prompt without
// max_tokens: seeded and long-tailed.
func AnswerLength(prompt string, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, xxhash.Sum64String(prompt)))
	length := medianAnswerTokens * math.Exp(answerSigma*random.NormFloat64())
	return min(max(1, int(math.Round(length))), maxAnswerTokens)
}

func promptWords(prompt string) []string {
	words := strings.Fields(prompt)
	if len(words) == 0 {
		return []string{emptyPromptWord}
	}
	return words
}

// answerPiece returns the answer's text at one index: a word, after a space
// unless it is the first.
func answerPiece(words []string, index int) string {
	word := words[index%len(words)]
	if index == 0 {
		return word
	}
	return " " + word
}
