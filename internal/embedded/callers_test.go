package embedded

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

// callers ask entries of /entries, read anew for each request, until stopped.
type callers struct {
	answered atomic.Int64
	stop     context.CancelFunc
	running  sync.WaitGroup
}

func startCallers(t *testing.T, d *Deployment, number int) *callers {
	asking, stop := context.WithCancel(t.Context())
	c := &callers{stop: stop}
	for range number {
		c.running.Go(func() {
			for asking.Err() == nil {
				entries := entriesAt(t, d, 0).Entries
				entry := entries[rand.IntN(len(entries))].Address
				status, text, err := chatAt(t.Context(), entry, 4)
				if t.Context().Err() != nil {
					return
				}
				if err != nil || status != http.StatusOK {
					t.Errorf("request at %s: %d %s %v", entry, status, text, err)
					return
				}
				c.answered.Add(1)
			}
		})
	}
	return c
}

// await returns after n more requests were answered.
func (c *callers) await(t *testing.T, n int64) {
	t.Helper()
	until := c.answered.Load() + n
	eventually(t, "more answers", func() bool { return c.answered.Load() >= until || t.Failed() })
}

// chatAt sends one chat that is answered whole.
func chatAt(ctx context.Context, entry string, tokens int) (int, string, error) {
	body := []byte(`{"model":"trestle-llm","max_tokens":` + strconv.Itoa(tokens) + `,"messages":[{"role":"user","content":"torque"}]}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Authorization", "Bearer "+PrairieKey)
	request.Header.Set("Trestle-Class", "counter")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
