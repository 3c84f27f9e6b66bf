package upstream

import (
	"encoding/json"
	"errors"
	"fmt"

	"galenatrestle/internal/openai"
)

var (
	// ErrNothingLeft says that the delivered tokens use up the request's
	// bound: the answer is complete but for its end.
	ErrNothingLeft = errors.New("upstream: no tokens left to continue with")
	// ErrNotContinuable says that the request's shape allows no continuation,
	// such as one that asks for several choices.
	ErrNotContinuable = errors.New("upstream: request cannot be continued")
)

// The members of a request that a continuation changes.
const (
	fieldMessages            = "messages"
	fieldPrompt              = "prompt"
	fieldChoices             = "n"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldContinue            = "continue_final_message"
	fieldGenerationPrompt    = "add_generation_prompt"
	roleAssistant            = "assistant"
)

// ContinueBody returns the request that goes on after the delivered text,
// which took the given number of tokens. Members it does not know stay as they
// are. It returns ErrNothingLeft or ErrNotContinuable where there is no such
// request.
func ContinueBody(original []byte, text string, tokens int) ([]byte, error) {
	if text == "" {
		return original, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(original, &fields); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrNotContinuable, err)
	}
	if choices, ok := fields[fieldChoices]; ok && string(choices) != "1" && string(choices) != "null" {
		return nil, fmt.Errorf("%w: n is %s", ErrNotContinuable, choices)
	}
	if err := appendText(fields, text); err != nil {
		return nil, err
	}
	for _, name := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		if err := reduce(fields, name, tokens); err != nil {
			return nil, err
		}
	}
	return json.Marshal(fields)
}

func appendText(fields map[string]json.RawMessage, text string) error {
	if _, chat := fields[fieldMessages]; chat {
		return appendToMessages(fields, text)
	}
	return appendToPrompt(fields, text)
}

// appendToMessages adds the text as an assistant message, or to the one that
// the caller itself asked to continue.
func appendToMessages(fields map[string]json.RawMessage, text string) error {
	var messages []json.RawMessage
	if err := json.Unmarshal(fields[fieldMessages], &messages); err != nil {
		return fmt.Errorf("%w: messages: %v", ErrNotContinuable, err)
	}
	if string(fields[fieldContinue]) == "true" && len(messages) > 0 {
		last := len(messages) - 1
		var begun openai.Message
		if err := json.Unmarshal(messages[last], &begun); err != nil {
			return fmt.Errorf("%w: last message: %v", ErrNotContinuable, err)
		}
		text = begun.Content + text
		messages = messages[:last]
	}
	message, err := json.Marshal(openai.Message{Role: roleAssistant, Content: text})
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(append(messages, message))
	if err != nil {
		return err
	}
	fields[fieldMessages] = encoded
	fields[fieldContinue] = json.RawMessage("true")
	fields[fieldGenerationPrompt] = json.RawMessage("false")
	return nil
}

func appendToPrompt(fields map[string]json.RawMessage, text string) error {
	var prompt string
	if err := json.Unmarshal(fields[fieldPrompt], &prompt); err != nil {
		return fmt.Errorf("%w: prompt is not one string", ErrNotContinuable)
	}
	encoded, err := json.Marshal(prompt + text)
	if err != nil {
		return err
	}
	fields[fieldPrompt] = encoded
	return nil
}

func reduce(fields map[string]json.RawMessage, name string, tokens int) error {
	raw, ok := fields[name]
	if !ok || string(raw) == "null" {
		return nil
	}
	var bound int
	if err := json.Unmarshal(raw, &bound); err != nil {
		return fmt.Errorf("%w: %s is %s", ErrNotContinuable, name, raw)
	}
	if bound <= tokens {
		return ErrNothingLeft
	}
	encoded, err := json.Marshal(bound - tokens)
	if err != nil {
		return err
	}
	fields[name] = encoded
	return nil
}
