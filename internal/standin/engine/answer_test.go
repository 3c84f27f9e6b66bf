package engine

import (
	"encoding/json"
	"strings"
	"testing"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/openai"
	"galenatrestle/internal/testnet"
)

func TestWholeAndStreamedAnswersAreTheExpectedOne(t *testing.T) {
	tests := []struct {
		name      string
		prompt    string
		maxTokens int
	}{
		{"shorter than the prompt", "why was table nine charged twice", 3},
		{"repeated", "split \"it\"\n evenly", 11},
		{"length drawn", "read this long history", 0},
		{"no words", "", 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				client := testnet.Serve(t, New(Options{Name: "e1", Model: testModel}))
				want := ExpectedAnswer(tt.prompt, tt.maxTokens)
				if got := streamAnswer(t, client, chat(tt.prompt, tt.maxTokens, true)); got != want {
					t.Errorf("streamed %q, want %q", got, want)
				}
				response, err := post(t, client, "/v1/chat/completions", chat(tt.prompt, tt.maxTokens, false))
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				var whole openai.Response
				if err := json.NewDecoder(response.Body).Decode(&whole); err != nil {
					t.Fatal(err)
				}
				if got := whole.Choices[0].Message.Content; got != want {
					t.Errorf("whole %q, want %q", got, want)
				}
				if got, want := whole.Usage.CompletionTokens, len(strings.Fields(want)); got != want {
					t.Errorf("usage says %d tokens, want %d", got, want)
				}
			})
		})
	}
}

func TestTextCompletionWithUsage(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		client := testnet.Serve(t, New(Options{Name: "e1", Model: testModel}))
		limit := 5
		request := openai.Request{Model: testModel, Prompt: "torque sensor", MaxTokens: &limit}
		response, err := post(t, client, "/v1/completions", request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		var whole openai.Response
		if err := json.NewDecoder(response.Body).Decode(&whole); err != nil {
			t.Fatal(err)
		}
		if got, want := *whole.Choices[0].Text, "torque sensor torque sensor torque"; got != want {
			t.Errorf("text %q, want %q", got, want)
		}
		streamed := chat("one two", 3, true)
		streamed.StreamOptions = &openai.StreamOptions{IncludeUsage: true}
		response, err = post(t, client, "/v1/chat/completions", streamed)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		_, usage, done, _ := readStream(response.Body)
		if !done || usage == nil || usage.CompletionTokens != 3 || usage.PromptTokens != 2 {
			t.Errorf("usage %+v, done %v", usage, done)
		}
	})
}

func TestResumeGoesOnAfterTheDeliveredPrefix(t *testing.T) {
	for _, maxTokens := range []int{9, 0} {
		bubbletest.Run(t, func(t *testing.T) {
			client := testnet.Serve(t, New(Options{Name: "e1", Model: testModel}))
			const prompt = "odd charges on the tab"
			want := ExpectedAnswer(prompt, maxTokens)
			given := strings.Join(strings.Fields(want)[:4], " ")
			request := chat(prompt, max(0, maxTokens-4), true)
			request.Messages = append(request.Messages, openai.Message{Role: openai.RoleAssistant, Content: given})
			request.ContinueFinalMessage = true
			if got := given + streamAnswer(t, client, request); got != want {
				t.Errorf("max_tokens %d: prefix and rest %q, want %q", maxTokens, got, want)
			}
		})
	}
}
