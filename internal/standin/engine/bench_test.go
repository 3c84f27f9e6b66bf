package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"
)

// BenchmarkTwentyEngines streams from 20 engines in one process, client
// included, over loopback, and reports the processor time a token.
func BenchmarkTwentyEngines(b *testing.B) {
	const engines, streams, tokens = 20, 100, 50
	urls := make([]string, engines)
	for i := range urls {
		server := httptest.NewServer(New(Options{Name: fmt.Sprint("e", i), Model: testModel, Slots: streams}))
		defer server.Close()
		urls[i] = server.URL
	}
	before := processorTime(b)
	for b.Loop() {
		var group sync.WaitGroup
		for i := range engines * streams {
			group.Go(func() { streamFrom(b, urls[i%engines], tokens) })
		}
		group.Wait()
	}
	spent := processorTime(b) - before
	b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N*engines*streams*tokens)/1000, "cpu-us/token")
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func streamFrom(b *testing.B, url string, tokens int) {
	data, err := json.Marshal(chat("split table nine", tokens, true))
	if err != nil {
		b.Error(err)
		return
	}
	response, err := http.Post(url+"/v1/chat/completions", "application/json", bytes.NewReader(data))
	if err != nil {
		b.Error(err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || !bytes.HasSuffix(body, []byte("[DONE]\n\n")) {
		b.Errorf("a stream was cut: %v", err)
	}
}
