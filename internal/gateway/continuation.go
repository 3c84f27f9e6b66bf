package gateway

import (
	"encoding/json"
	"strings"

	"galenatrestle/internal/openai"
	"galenatrestle/internal/upstream"
)

// continuation is an attempt that goes on from what earlier ones delivered.
type continuation struct {
	body []byte
	// head is the answer's first chunk, whose id and time the others carry.
	head openai.Response
	// tokens were delivered before.
	tokens int
}

// prefix is what was delivered of an answer so far.
type prefix struct {
	text strings.Builder
	head openai.Response
	// finished says that the engine has told why the answer ends.
	finished bool
}

// add appends one chunk.
func (p *prefix) add(chunk *openai.Response) {
	if p.head.ID == "" {
		p.head = *chunk
	}
	for _, choice := range chunk.Choices {
		if choice.Delta != nil {
			p.text.WriteString(choice.Delta.Content)
		}
		if choice.Text != nil {
			p.text.WriteString(*choice.Text)
		}
		p.finished = p.finished || choice.FinishReason != nil
	}
}

// continuation returns the attempt that goes on from the delivered prefix, or
// nil where there is none or it cannot be.
func (e *exchange) continuation() *continuation {
	if e.completion.opaque || e.tokens == 0 {
		return nil
	}
	delivered := e.delivered()
	if delivered == nil || delivered.finished {
		return nil
	}
	original, err := e.completion.engineBody(e.call.class.Tier)
	if err != nil {
		return nil
	}
	body, err := upstream.ContinueBody(original, delivered.text.String(), e.tokens)
	if err != nil {
		return nil
	}
	return &continuation{body: body, head: delivered.head, tokens: e.tokens}
}

// delivered returns what was delivered so far, or nil where it is not known.
func (e *exchange) delivered() *prefix {
	if whole, ok := e.sink.(*wholeSink); ok {
		return whole.delivered()
	}
	if e.record == nil {
		return nil
	}
	_, events, err := e.record.Snapshot()
	if err != nil {
		return nil
	}
	p := &prefix{}
	for _, event := range events {
		var chunk openai.Response
		if json.Unmarshal(event.Data, &chunk) != nil {
			return nil
		}
		p.add(&chunk)
	}
	return p
}

// rebase gives a chunk the id and time of the answer's first one, and counts
// the tokens delivered before into its usage.
func (c *continuation) rebase(data []byte) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) != nil {
		return data
	}
	set(fields, "id", c.head.ID)
	set(fields, "created", c.head.Created)
	var usage *openai.Usage
	if json.Unmarshal(fields["usage"], &usage) == nil && usage != nil {
		usage.PromptTokens -= c.tokens
		usage.CompletionTokens += c.tokens
		set(fields, "usage", usage)
	}
	rebased, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return rebased
}

// set replaces a member by a value that always has a JSON form.
func set(fields map[string]json.RawMessage, name string, value any) {
	if encoded, err := json.Marshal(value); err == nil {
		fields[name] = encoded
	}
}
