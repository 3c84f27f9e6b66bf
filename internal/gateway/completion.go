package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/config"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

const (
	pathChat = "/v1/chat/completions"
	pathText = "/v1/completions"
	// prefixBlockBytes is the grain at which prompt prefixes are compared.
	prefixBlockBytes = 512
	// maxPrefixBlocks bounds the prefixes kept of one prompt.
	maxPrefixBlocks = 16
	// bytesPerToken estimates the prompt's length.
	bytesPerToken = 4
)

// completion is a checked chat or text completion request.
type completion struct {
	path     string
	upstream *config.Upstream
	request  openai.Request
	// fields holds the caller's whole body, unknown fields included.
	fields map[string]json.RawMessage
	prompt []byte
	// opaque requests use features whose answers are not put together from
	// chunks here: they go to the engine unstreamed, as they are.
	opaque bool
	// callerUsage says that a streaming caller asked for the usage chunk.
	callerUsage bool
}

// opaqueFields are request fields whose answers carry more than text.
var opaqueFields = []string{"tools", "functions", "logprobs", "n", "best_of", "echo", "audio", "modalities"}

// parseCompletion checks a completion request's body.
func parseCompletion(c *call, path string, body []byte) (*completion, error) {
	p := &completion{path: path}
	if err := json.Unmarshal(body, &p.fields); err != nil {
		return nil, refusal.BadField("body", excerpt(body), "not a JSON object: "+err.Error())
	}
	if err := json.Unmarshal(body, &p.request); err != nil {
		return nil, badShape(err, body)
	}
	if err := checkNames(p.fields); err != nil {
		return nil, err
	}
	if err := p.checkFields(c); err != nil {
		return nil, err
	}
	upstream, ok := c.index.UpstreamByModel(p.request.Model)
	if !ok {
		return nil, named(refusal.UnknownModel, "model", p.request.Model, "no upstream serves this model")
	}
	p.upstream = upstream
	if err := allowed(c, upstream.Name); err != nil {
		return nil, err
	}
	p.opaque = p.isOpaque()
	p.callerUsage = p.request.StreamOptions != nil && p.request.StreamOptions.IncludeUsage
	p.prompt = p.promptBytes()
	return p, nil
}

// badShape names the field of the wrong type.
func badShape(err error, body []byte) error {
	if typed, ok := err.(*json.UnmarshalTypeError); ok {
		return refusal.BadField(typed.Field, typed.Value, "of the wrong type, want "+typed.Type.String())
	}
	return refusal.BadField("body", excerpt(body), err.Error())
}

func excerpt(body []byte) string {
	const most = 40
	if len(body) <= most {
		return string(body)
	}
	return string(body[:most]) + "..."
}

func (p *completion) checkFields(c *call) error {
	if p.request.Model == "" {
		return refusal.BadField("model", "", "a model is required")
	}
	if p.path == pathChat && len(p.request.Messages) == 0 {
		return refusal.BadField("messages", "[]", "at least one message is required")
	}
	if p.path == pathText && p.request.Prompt == "" {
		return refusal.BadField("prompt", "", "a prompt is required")
	}
	for i, m := range p.request.Messages {
		if m.Role == "" {
			return refusal.BadField(fmt.Sprintf("messages[%d].role", i), "", "a role is required")
		}
		if !slices.Contains(openai.Roles(), m.Role) {
			return refusal.BadField(fmt.Sprintf("messages[%d].role", i), m.Role, "no such role")
		}
	}
	if err := checkMax(c, "max_tokens", p.request.MaxTokens); err != nil {
		return err
	}
	return checkMax(c, "max_completion_tokens", p.request.MaxCompletionTokens)
}

func checkMax(c *call, field string, value *int) error {
	if value == nil {
		return nil
	}
	bound := c.index.Document().Limits.MaxTokens
	if *value < 1 || *value > bound {
		return refusal.BadField(field, strconv.Itoa(*value), fmt.Sprintf("must be from 1 to %d", bound))
	}
	return nil
}

func (p *completion) isOpaque() bool {
	for _, field := range opaqueFields {
		raw, set := p.fields[field]
		if set && !bytes.Equal(raw, []byte("null")) && !bytes.Equal(raw, []byte("1")) && !bytes.Equal(raw, []byte("false")) {
			return true
		}
	}
	return false
}

// promptBytes returns the prompt's text in the order in which engines read it.
func (p *completion) promptBytes() []byte {
	if p.path == pathText {
		return []byte(p.request.Prompt)
	}
	var b bytes.Buffer
	for _, m := range p.request.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// promptTokens estimates the prompt's length in tokens.
func (p *completion) promptTokens() int { return len(p.prompt)/bytesPerToken + 1 }

// maxTokens is the caller's bound of the answer; zero where there is none.
func (p *completion) maxTokens() int {
	switch {
	case p.request.MaxCompletionTokens != nil:
		return *p.request.MaxCompletionTokens
	case p.request.MaxTokens != nil:
		return *p.request.MaxTokens
	default:
		return 0
	}
}

// engineBody is the body sent to the engine: the caller's, with the stream
// switched on, usage asked for and the class's tier as priority.
func (p *completion) engineBody(tier int) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(p.fields)+3)
	for name, raw := range p.fields {
		fields[name] = raw
	}
	fields["priority"] = json.RawMessage(strconv.Itoa(tier))
	if p.opaque {
		return json.Marshal(fields)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// routerRequest is what the decisions know of the request.
func (p *completion) routerRequest(c *call) router.Request {
	return router.Request{
		ID:           c.id,
		Workspace:    c.workspace.Name,
		Class:        c.class.Name,
		Tier:         c.class.Tier,
		Model:        p.request.Model,
		Arrived:      c.arrived,
		FirstTokenBy: c.firstTokenBy(),
		AnswerBy:     c.answerBy(),
		GiveUpAt:     c.giveUpAt,
		PromptTokens: p.promptTokens(),
		MaxTokens:    p.maxTokens(),
		PrefixHashes: prefixHashes(p.prompt),
		Fingerprint:  uint64(quarantine.FingerprintOf(c.workspace.Name, p.request.Model, p.prompt)),
		PromptParts:  promptParts(c.workspace.Name, p.request.Messages),
		Attempt:      1,
	}
}

// promptParts returns the parts that a prompt may share with others of its workspace: all messages but the
// last one.
func promptParts(workspace string, messages []openai.Message) []quarantine.PromptPart {
	var parts []quarantine.PromptPart
	for i := range len(messages) - 1 {
		parts = append(parts, quarantine.PromptPart(quarantine.FingerprintOf(workspace, messages[i].Role, []byte(messages[i].Content))))
	}
	return parts
}

// prefixHashes returns the hashes of the prompt's prefixes, shortest first.
func prefixHashes(prompt []byte) []uint64 {
	var hashes []uint64
	var h xxhash.Digest
	h.Reset()
	for len(prompt) >= prefixBlockBytes && len(hashes) < maxPrefixBlocks {
		_, _ = h.Write(prompt[:prefixBlockBytes])
		hashes = append(hashes, h.Sum64())
		prompt = prompt[prefixBlockBytes:]
	}
	return hashes
}
