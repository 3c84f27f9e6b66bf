package openai

import (
	"encoding/json"
	"strings"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// contentPart is one part of a message whose content is a list.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads a message whose content is a string, null or a list of
// parts; of a list it keeps the text parts, joined.
func (m *Message) UnmarshalJSON(data []byte) error {
	var wire struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	m.Role = wire.Role
	if len(wire.Content) == 0 || wire.Content[0] != '[' {
		m.Content = ""
		if len(wire.Content) == 0 {
			return nil
		}
		return json.Unmarshal(wire.Content, &m.Content)
	}
	var parts []contentPart
	if err := json.Unmarshal(wire.Content, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	m.Content = text.String()
	return nil
}
