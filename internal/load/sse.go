package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"
)

// deltaChunk is the part of a chunk that a caller reads.
type deltaChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads server-sent events up to [DONE], an error event or the end
// of the connection.
func (a *Attempt) readStream(body io.Reader) {
	var text strings.Builder
	a.Ending, a.Err = a.readEvents(bufio.NewReader(body), &text)
	a.Text = text.String()
}

func (a *Attempt) readEvents(reader *bufio.Reader, text *strings.Builder) (Ending, error) {
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return EndingTruncated, nil
		}
		if err != nil {
			return EndingAborted, err
		}
		line = bytes.TrimSpace(line)
		if bytes.Equal(line, []byte("event: error")) {
			return EndingError, nil
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, []byte("[DONE]")) {
			return EndingWhole, nil
		}
		if err := a.readChunk(data, text); err != nil {
			return EndingAborted, err
		}
	}
}

func (a *Attempt) readChunk(data []byte, text *strings.Builder) error {
	var chunk deltaChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		if a.FirstToken.IsZero() {
			a.FirstToken = time.Now()
		}
		text.WriteString(choice.Delta.Content)
	}
	return nil
}
