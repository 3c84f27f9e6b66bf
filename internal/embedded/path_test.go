package embedded

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"galenatrestle/internal/standin/engine"
)

const prompt = "why does the torque sensor read zero"

// startDeployment runs a deployment on free ports until the test ends.
func startDeployment(t *testing.T) *Deployment {
	t.Helper()
	d, err := Start(Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(time.Minute); err != nil {
			t.Errorf("graceful stop: %v", err)
		}
	})
	return d
}

func client(d *Deployment, node int) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+d.Nodes[node].EntryAddress()+"/v1/"),
		option.WithAPIKey(PrairieKey),
		option.WithMaxRetries(0),
	)
}

func chatParams(tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "trestle-llm",
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

func TestOpenAIClient(t *testing.T) {
	d := startDeployment(t)
	ctx := context.Background()
	want := engine.ExpectedAnswer(prompt, 12)

	t.Run("whole", func(t *testing.T) {
		c := client(d, 0)
		answer, err := c.Chat.Completions.New(ctx, chatParams(12))
		if err != nil {
			t.Fatal(err)
		}
		if got := answer.Choices[0].Message.Content; got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
		if answer.Usage.CompletionTokens != 12 {
			t.Errorf("usage %d tokens, want 12", answer.Usage.CompletionTokens)
		}
	})

	t.Run("stream", func(t *testing.T) {
		c := client(d, 1)
		params := chatParams(12)
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := c.Chat.Completions.NewStreaming(ctx, params)
		var sum openai.ChatCompletionAccumulator
		for stream.Next() {
			sum.AddChunk(stream.Current())
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if got := sum.Choices[0].Message.Content; got != want {
			t.Errorf("answer %q, want %q", got, want)
		}
		if sum.Usage.CompletionTokens != 12 {
			t.Errorf("usage %d tokens, want 12", sum.Usage.CompletionTokens)
		}
	})

	t.Run("models", func(t *testing.T) {
		c := client(d, 2)
		page, err := c.Models.List(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if len(page.Data) != 1 || page.Data[0].ID != "trestle-llm" {
			t.Errorf("models %+v, want trestle-llm alone", page.Data)
		}
	})
}

func TestServiceCall(t *testing.T) {
	d := startDeployment(t)
	body := `{"account":"shop-17"}`
	response := send(t, d, "POST", "/services/member-ledger/claims", body, map[string]string{
		"Authorization": "Bearer " + PrairieKey, "Idempotency-Key": "claim-1",
	})
	var answer struct {
		Body json.RawMessage `json:"body"`
		Run  int             `json:"run"`
	}
	if err := json.Unmarshal(response.body, &answer); err != nil {
		t.Fatalf("answer %s: %v", response.body, err)
	}
	if response.status != http.StatusOK || string(answer.Body) != body || answer.Run != 1 {
		t.Errorf("status %d, answer %s", response.status, response.body)
	}
}

func TestStreamEndsWithDone(t *testing.T) {
	d := startDeployment(t)
	body := `{"model":"trestle-llm","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"a b c"}]}`
	response := send(t, d, "POST", "/v1/chat/completions", body, map[string]string{"Authorization": "Bearer " + PrairieKey})
	var data []string
	lines := bufio.NewScanner(strings.NewReader(string(response.body)))
	for lines.Scan() {
		if payload, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			data = append(data, payload)
		}
	}
	if len(data) != 4 || data[3] != "[DONE]" {
		t.Errorf("events %q, want three chunks and [DONE]", data)
	}
}

func TestEntriesNearestFirst(t *testing.T) {
	d := startDeployment(t)
	response := send(t, d, "GET", "/entries?availability_zone=regina-hall", "", nil)
	var list struct {
		Entries []struct {
			AvailabilityZone string `json:"availability_zone"`
		} `json:"entries"`
	}
	if err := json.Unmarshal(response.body, &list); err != nil {
		t.Fatal(err)
	}
	if len(list.Entries) != defaultNodes || list.Entries[0].AvailabilityZone != "regina-hall" {
		t.Errorf("entries %+v, want %d with regina-hall first", list.Entries, defaultNodes)
	}
}

type answered struct {
	status int
	header http.Header
	body   []byte
}

// send makes one request to the first node.
func send(t *testing.T, d *Deployment, method, path, body string, header map[string]string) answered {
	t.Helper()
	got, err := sendTo(d, 0, method, path, body, header)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// sendTo makes one request to a node.
func sendTo(d *Deployment, node int, method, path, body string, header map[string]string) (answered, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.Nodes[node].EntryAddress()+path, strings.NewReader(body))
	if err != nil {
		return answered{}, err
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answered{}, err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return answered{status: response.StatusCode, header: response.Header, body: read}, err
}
