package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"galenatrestle/internal/openai"
)

// Caller sends single requests to entry addresses.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller that uses the client's transport; the client must
// have no timeout.
func NewCaller(client *http.Client) *Caller { return &Caller{client: client} }

// Try sends the request once to the entry address and reads the answer. It
// returns when the answer has ended or the caller gave up.
func (c *Caller) Try(ctx context.Context, entry string, request *Request) Attempt {
	if limit := request.Stream.GiveUpAfter.Std(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	attempt := c.try(ctx, entry, request)
	attempt.Ended = time.Now()
	if attempt.Ending == EndingAborted && ctx.Err() != nil {
		attempt.Ending = EndingGaveUp
	}
	return attempt
}

func (c *Caller) try(ctx context.Context, entry string, request *Request) Attempt {
	message, err := newMessage(ctx, entry, request)
	if err != nil {
		return Attempt{Ending: EndingAborted, Err: err}
	}
	response, err := c.client.Do(message)
	if err != nil {
		return Attempt{Ending: EndingAborted, Err: err}
	}
	defer response.Body.Close()
	attempt := Attempt{Status: response.StatusCode, RequestID: response.Header.Get("Trestle-Request-Id")}
	attempt.NodeAttempts = response.Header.Get("Trestle-Attempts")
	switch {
	case response.StatusCode < 200 || response.StatusCode > 299:
		attempt.readRefusal(response)
	case request.Stream.Service != nil:
		attempt.readService(response.Body)
	case request.Stream.Whole:
		attempt.readWhole(response.Body)
	default:
		attempt.readStream(response.Body)
	}
	return attempt
}

func newMessage(ctx context.Context, entry string, request *Request) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(request.Prompt)
	if service := request.Stream.Service; service != nil {
		method = service.Method
		path = "/services/" + service.Upstream + service.Path
	} else {
		body = chatBody(request)
	}
	// The reader's type hides from net/http that the body could be sent again:
	// it would repeat calls with an idempotency key by itself.
	reader := io.MultiReader(bytes.NewReader(body))
	message, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, reader)
	if err != nil {
		return nil, err
	}
	message.ContentLength = int64(len(body))
	message.Header.Set("Content-Type", "application/json")
	message.Header.Set("Authorization", "Bearer "+request.Stream.Key)
	message.Header.Set("Trestle-Class", request.Stream.Class)
	if useful := request.Stream.UsefulFor; useful > 0 {
		message.Header.Set("Trestle-Timeout", useful.String())
	}
	if request.IdempotencyKey != "" {
		message.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	return message, nil
}

func chatBody(request *Request) []byte {
	chat := openai.Request{Model: request.Stream.Model, Stream: !request.Stream.Whole}
	if request.Prefix != "" {
		chat.Messages = append(chat.Messages, openai.Message{Role: "system", Content: request.Prefix})
	}
	chat.Messages = append(chat.Messages, openai.Message{Role: openai.RoleUser, Content: request.Prompt})
	if request.MaxTokens > 0 {
		chat.MaxTokens = &request.MaxTokens
	}
	body, err := json.Marshal(chat)
	if err != nil {
		panic(fmt.Sprintf("a chat request has no JSON: %v", err)) // strings and numbers only
	}
	return body
}

func (a *Attempt) readRefusal(response *http.Response) {
	a.Ending = EndingRefused
	a.Outcome = response.Header.Get("Trestle-Outcome")
	a.Reason = response.Header.Get("Trestle-Reason")
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	// Reading to the end lets the connection be used again.
	_, a.Err = io.Copy(io.Discard, response.Body)
}

func (a *Attempt) readService(body io.Reader) {
	data, err := io.ReadAll(body)
	a.FirstToken = time.Now()
	a.Ending, a.Text = EndingWhole, strings.TrimSpace(string(data))
	if err != nil {
		a.Ending, a.Err = EndingAborted, err
	}
}

func (a *Attempt) readWhole(body io.Reader) {
	var answer openai.Response
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		a.Ending, a.Err = EndingAborted, err
		return
	}
	a.FirstToken = time.Now()
	a.Ending = EndingWhole
	if len(answer.Choices) > 0 && answer.Choices[0].Message != nil {
		a.Text = answer.Choices[0].Message.Content
	}
}
