package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/testnet"
)

const testModel = "tab-llm"

func post(t *testing.T, client *http.Client, path string, body any) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://engine"+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set(openai.HeaderRequestID, "req-1")
	return client.Do(request)
}

func get(t *testing.T, client *http.Client, path string, into any) {
	t.Helper()
	response, err := client.Get("http://engine" + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}

func chat(prompt string, maxTokens int, stream bool) openai.Request {
	request := openai.Request{
		Model:    testModel,
		Messages: []openai.Message{{Role: openai.RoleUser, Content: prompt}},
		Stream:   stream,
	}
	if maxTokens > 0 {
		request.MaxTokens = &maxTokens
	}
	return request
}

// readStream returns the text of a stream, its usage, and whether it ended in
// [DONE].
func readStream(body io.Reader) (text string, usage *openai.Usage, done bool, err error) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, usage, true, nil
		}
		var chunk openai.Response
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return text, usage, false, err
		}
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
	}
	return text, usage, false, scanner.Err()
}

func streamAnswer(t *testing.T, client *http.Client, request openai.Request) string {
	t.Helper()
	response, err := post(t, client, "/v1/chat/completions", request)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer response.Body.Close()
	text, _, done, err := readStream(response.Body)
	if !done {
		t.Errorf("stream did not end: status %d, text %q, err %v", response.StatusCode, text, err)
	}
	return text
}

func TestCachedPrefixIsNotReadAgain(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		e := New(Options{Name: "e1", Model: testModel, PrefillPerToken: time.Millisecond, CacheTokens: 64, CacheEventLoss: -1})
		client := testnet.Serve(t, e)
		first := func(prompt string) time.Duration {
			start := time.Now()
			streamAnswer(t, client, chat(prompt, 1, true))
			return time.Since(start)
		}
		prompt := strings.Repeat("history ", 64)
		cold, warm := first(prompt), first(prompt)
		if cold-warm != 64*time.Millisecond {
			t.Errorf("cold %v, warm %v: want 64ms less", cold, warm)
		}
		first(strings.Repeat("other ", 64))
		if again := first(prompt); again != cold {
			t.Errorf("after eviction %v, want %v", again, cold)
		}
		time.Sleep(defaultCacheEventLag)
		var events []openai.CacheEvent
		get(t, client, "/cache/events?after=4", &events)
		if len(events) != 16 || events[0].Sequence != 5 {
			t.Errorf("events %+v, want 16 from 5 on", events)
		}
	})
}

func TestOrdersAndFencing(t *testing.T) {
	for _, honours := range []bool{true, false} {
		bubbletest.Run(t, func(t *testing.T) {
			client := testnet.Serve(t, New(Options{Name: "e1", Model: testModel, HonoursFencing: honours}))
			orders := []struct {
				order openai.Order
				old   bool
			}{
				{openai.Order{Kind: openai.OrderLoad, Model: "adapter", Epoch: 5}, false},
				{openai.Order{Kind: openai.OrderUnload, Model: testModel, Epoch: 4}, true},
			}
			for _, o := range orders {
				response, err := post(t, client, "/orders", o.order)
				if err != nil {
					t.Fatal(err)
				}
				refused := response.StatusCode == http.StatusConflict
				if refused != (o.old && honours) {
					t.Errorf("honours %v: order %+v got status %d", honours, o.order, response.StatusCode)
				}
			}
			var state openai.OrderState
			get(t, client, "/orders", &state)
			models := 1
			if honours {
				models = 2
			}
			if state.Epoch != 5 || len(state.Models) != models {
				t.Errorf("honours %v: state %+v", honours, state)
			}
		})
	}
}

func TestKVMovesBetweenEngines(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		prompt := strings.Repeat("history ", 64)
		source := testnet.Serve(t, New(Options{Name: "e1", Model: testModel}))
		targetEngine := New(Options{Name: "e2", Model: testModel, PrefillPerToken: time.Millisecond})
		target := testnet.Serve(t, targetEngine)
		streamAnswer(t, source, chat(prompt, 1, true))
		response, err := post(t, source, "/kv/export", openai.KVSelector{Model: testModel, Text: prompt})
		if err != nil {
			t.Fatal(err)
		}
		var blocks openai.KVBlocks
		if err := json.NewDecoder(response.Body).Decode(&blocks); err != nil {
			t.Fatal(err)
		}
		if len(blocks.Hashes) != 4 {
			t.Fatalf("exported %d blocks, want 4", len(blocks.Hashes))
		}
		if _, err := post(t, target, "/kv/import", blocks); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		streamAnswer(t, target, chat(prompt, 1, true))
		if took := time.Since(start); took != DefaultTokenInterval {
			t.Errorf("first token after %v, want %v: nothing to read", took, DefaultTokenInterval)
		}
	})
}
