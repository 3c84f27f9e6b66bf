package gateway

import (
	"encoding/json"
	"strings"

	"galenatrestle/internal/openai"
	"galenatrestle/internal/refusal"
)

// wholeSink puts a streamed answer together and sends it as one body.
type wholeSink struct {
	outlet
	chat bool

	answer openai.Response
	text   strings.Builder
	finish *string
}

// delivered returns what the attempts gave so far, though the caller has seen
// nothing of it.
func (s *wholeSink) delivered() *prefix {
	p := &prefix{head: s.answer, finished: s.finish != nil}
	p.text.WriteString(s.text.String())
	return p
}

// begun is always false: nothing is sent before the answer is whole.
func (s *wholeSink) begun() bool { return false }

func (s *wholeSink) chunk(data []byte) error {
	var chunk openai.Response
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if s.answer.ID == "" {
		s.answer.ID = chunk.ID
		s.answer.Created = chunk.Created
		s.answer.Model = chunk.Model
	}
	if chunk.Usage != nil {
		s.answer.Usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		s.add(choice)
	}
	return nil
}

func (s *wholeSink) add(choice openai.Choice) {
	if choice.Delta != nil {
		s.text.WriteString(choice.Delta.Content)
	}
	if choice.Text != nil {
		s.text.WriteString(*choice.Text)
	}
	if choice.FinishReason != nil {
		s.finish = choice.FinishReason
	}
}

func (s *wholeSink) reset() {
	s.text.Reset()
	s.answer = openai.Response{}
	s.finish = nil
}

func (s *wholeSink) end() error {
	text := s.text.String()
	choice := openai.Choice{FinishReason: s.finish}
	if s.chat {
		s.answer.Object = "chat.completion"
		choice.Message = &openai.Message{Role: "assistant", Content: text}
	} else {
		s.answer.Object = "text_completion"
		choice.Text = &text
	}
	s.answer.Choices = []openai.Choice{choice}
	body, err := json.Marshal(&s.answer)
	if err != nil {
		return err
	}
	s.keep(body)
	header := s.w.Header()
	s.prepare(header)
	header.Set(headerType, typeJSON)
	giveTime(s.w, len(body))
	_, err = s.w.Write(append(body, '\n'))
	return err
}

func (s *wholeSink) fail(refused *refusal.Error) {
	s.prepare(s.w.Header())
	s.server.refuse(s.w, refused)
}
