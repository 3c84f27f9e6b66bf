package promises

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/embedded"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/standin/fault"
)

// callTimeout ends a call that hangs; no test depends on it otherwise.
const callTimeout = time.Minute

// start runs a deployment until the test ends.
func start(t *testing.T, options embedded.Options) *embedded.Deployment {
	t.Helper()
	d, err := embedded.Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// breakWith switches a fault on.
func breakWith(t *testing.T, faults *fault.Set, spec fault.Spec) {
	t.Helper()
	if err := faults.Switch(spec); err != nil {
		t.Fatal(err)
	}
}

// call is one request of a caller.
type call struct {
	address string
	key     string
	class   string
	prompt  string
	tokens  int
	stream  bool
	// header holds further headers.
	header map[string]string
	// begun, where set, is called once the response has begun or failed.
	begun func()
}

// outcome is what the caller saw.
type outcome struct {
	// text is the answer as far as it came.
	text string
	// clean says that the answer ended as whole answers end.
	clean bool
	// status is zero where no response came.
	status    int
	requestID string
	refusal   string
	reason    string
	attempts  string
	err       error
}

// chat makes a chat request.
func chat(ctx context.Context, c call) outcome {
	body, err := json.Marshal(map[string]any{
		"model":      "trestle-llm",
		"stream":     c.stream,
		"max_tokens": c.tokens,
		"messages":   []map[string]string{{"role": "user", "content": c.prompt}},
	})
	if err != nil {
		return outcome{err: err}
	}
	response, err := post(ctx, c, "/v1/chat/completions", string(body))
	if c.begun != nil {
		c.begun()
	}
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	o := outcomeOf(response)
	if o.status != http.StatusOK {
		return o
	}
	if c.stream {
		o.readStream(response.Body)
		return o
	}
	o.readWhole(response.Body)
	return o
}

func post(ctx context.Context, c call, path, body string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	context.AfterFunc(ctx, cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, strings.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Trestle-Class", c.class)
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		cancel()
	}
	return response, err
}

func outcomeOf(response *http.Response) outcome {
	return outcome{
		status:    response.StatusCode,
		requestID: response.Header.Get("Trestle-Request-Id"),
		refusal:   response.Header.Get("Trestle-Outcome"),
		reason:    response.Header.Get("Trestle-Reason"),
		attempts:  response.Header.Get("Trestle-Attempts"),
	}
}

func (o *outcome) readWhole(body io.Reader) {
	var answer openai.Response
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		o.err = err
		return
	}
	o.text = answer.Choices[0].Message.Content
	o.clean = true
}

func (o *outcome) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	var text strings.Builder
	defer func() { o.text = text.String() }()
	for lines.Scan() {
		if lines.Text() == "event: error" {
			o.err = fmt.Errorf("error event")
			return
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.clean = true
			return
		}
		var chunk openai.Response
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			o.err = err
			return
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	o.err = fmt.Errorf("stream ended: %v", lines.Err())
}
