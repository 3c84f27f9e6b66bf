package openai

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Roles of messages that the system tells apart.
const (
	RoleUser      = "user"
	RoleAssistant = "assistant"
)

// PrefixBlockWords is the number of words by which cached prefixes grow.
const PrefixBlockWords = 16

// PromptText returns all text that the engine reads before it answers.
func (r *Request) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	parts := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}

// LastUserText returns the content of the last user message, or the prompt of
// a text completion.
func (r *Request) LastUserText() string {
	for i := len(r.Messages) - 1; i >= 0; i-- {
		if r.Messages[i].Role == RoleUser {
			return r.Messages[i].Content
		}
	}
	return r.Prompt
}

// TokenLimit returns the caller's bound of the answer, zero where there is
// none.
func (r *Request) TokenLimit() int {
	if r.MaxCompletionTokens != nil {
		return *r.MaxCompletionTokens
	}
	if r.MaxTokens != nil {
		return *r.MaxTokens
	}
	return 0
}

// PrefixHashes identifies the text's prefixes of whole blocks of
// PrefixBlockWords words, shortest first, for a model.
func PrefixHashes(model, text string) []uint64 {
	words := strings.Fields(text)
	hashes := make([]uint64, 0, len(words)/PrefixBlockWords)
	digest := xxhash.New()
	_, _ = digest.WriteString(model) // never fails
	for i, word := range words {
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(word)
		if (i+1)%PrefixBlockWords == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
