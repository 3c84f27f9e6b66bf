package engine

import (
	"bytes"
	"encoding/json"
	"net/http"

	"galenatrestle/internal/openai"
)

// framePlaceholder is text that no model name or id holds.
const framePlaceholder = "\x00"

// frame is a chunk of a stream around its text, encoded once for the whole
// stream.
type frame struct {
	before, after []byte
}

// newFrame cuts a chunk whose text is framePlaceholder.
func newFrame(chunk openai.Response) frame {
	data := encode(chunk)
	before, after, _ := bytes.Cut(data, encode(framePlaceholder))
	return frame{before: before, after: after}
}

// appendEvent appends the chunk with the text as a server-sent event.
func (f frame) appendEvent(buffer []byte, text string) []byte {
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, f.before...)
	buffer = append(buffer, encode(text)...)
	buffer = append(buffer, f.after...)
	return append(buffer, "\n\n"...)
}

// encode returns the JSON of a value that always has one.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return data
}
