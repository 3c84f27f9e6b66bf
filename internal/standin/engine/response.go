package engine

import (
	"fmt"
	"net/http"
	"strings"

	"galenatrestle/internal/openai"
	"galenatrestle/internal/standin/reply"
)

// answer writes one generation to its caller.
type answer struct {
	engine     *Engine
	generation *generation
	request    *openai.Request
	chat       bool
	created    int64
}

// next waits until there are more than sent words, or none will come, and
// returns how many there are and whether they are all. It aborts the
// connection where the generation broke or the caller is gone.
func (a *answer) next(r *http.Request, sent int) (given int, done bool) {
	for {
		state, given := a.engine.progress(a.generation)
		switch {
		case state == stateDone:
			return given, true
		case state == stateCancelled || state == stateCrashed:
			panic(http.ErrAbortHandler)
		case given > sent:
			return given, false
		}
		select {
		case <-a.generation.notify:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (a *answer) whole(w http.ResponseWriter, r *http.Request) {
	given, done := 0, false
	for !done {
		given, done = a.next(r, given)
	}
	var text strings.Builder
	for i := range given {
		text.WriteString(a.generation.piece(i))
	}
	response := a.response(text.String(), true, false)
	response.Usage = a.usage(given)
	reply.JSON(w, http.StatusOK, response)
}

func (a *answer) stream(w http.ResponseWriter, r *http.Request) {
	flusher := http.NewResponseController(w)
	word := newFrame(a.response(framePlaceholder, false, true))
	var buffer []byte
	sent, done := 0, false
	for !done {
		var given int
		given, done = a.next(r, sent)
		if sent == 0 {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-cache")
		}
		buffer = buffer[:0]
		for ; sent < given && !(done && sent == given-1); sent++ {
			buffer = word.appendEvent(buffer, a.generation.piece(sent))
		}
		if done {
			buffer = a.appendEnd(buffer, given)
		}
		// The flush returns what went wrong with the connection.
		_, _ = w.Write(buffer)
		if flusher.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// appendEnd appends the last word, the usage where it was asked for, and the
// end mark.
func (a *answer) appendEnd(buffer []byte, given int) []byte {
	text := ""
	if given > 0 {
		text = a.generation.piece(given - 1)
	}
	last := newFrame(a.response(framePlaceholder, true, true))
	buffer = last.appendEvent(buffer, text)
	if options := a.request.StreamOptions; options != nil && options.IncludeUsage {
		chunk := a.response("", false, true)
		chunk.Choices = []openai.Choice{}
		chunk.Usage = a.usage(given)
		buffer = fmt.Appendf(buffer, "data: %s\n\n", encode(chunk))
	}
	return append(buffer, "data: [DONE]\n\n"...)
}

func (a *answer) usage(given int) *openai.Usage {
	prompt := a.generation.promptTokens
	return &openai.Usage{PromptTokens: prompt, CompletionTokens: given, TotalTokens: prompt + given}
}

// response returns a whole answer or one chunk of a stream.
func (a *answer) response(text string, last, chunk bool) openai.Response {
	response := openai.Response{
		ID: a.id(), Object: a.object(chunk), Created: a.created, Model: a.request.Model,
	}
	choice := openai.Choice{}
	if last {
		reason := a.generation.finishReason()
		choice.FinishReason = &reason
	}
	message := &openai.Message{Role: openai.RoleAssistant, Content: text}
	switch {
	case !a.chat:
		choice.Text = &text
	case chunk:
		choice.Delta = message
	default:
		choice.Message = message
	}
	response.Choices = []openai.Choice{choice}
	return response
}

func (a *answer) id() string {
	prefix := "cmpl-"
	if a.chat {
		prefix = "chatcmpl-"
	}
	if a.generation.requestID == "" {
		return fmt.Sprintf("%s%s-%d", prefix, a.engine.opts.Name, a.generation.arrival)
	}
	return prefix + a.generation.requestID
}

func (a *answer) object(chunk bool) string {
	switch {
	case !a.chat:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}
