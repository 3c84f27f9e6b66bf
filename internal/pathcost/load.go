package pathcost

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// requestTimeout ends a request that hangs.
const requestTimeout = 60 * time.Second

// Run measures both ways, one after the other, in this process.
func Run(ctx context.Context, o Options) (Report, error) {
	o = o.WithDefaults()
	s, err := startSystem(o)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	report := Report{Options: o}
	for _, warm := range []bool{true, false} {
		measured := o
		if warm {
			measured.Duration = o.Duration / 5
		}
		report.Direct = measure(ctx, measured, s.engines)
		report.Through = measure(ctx, measured, []string{s.node.EntryAddress()})
	}
	return report, ctx.Err()
}

// measure loads the addresses in turn and returns the figures.
func measure(ctx context.Context, o Options, addresses []string) Sample {
	client := &http.Client{
		Timeout:   requestTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 4096},
	}
	defer client.CloseIdleConnections()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"why does the torque sensor read zero"}]}`, model, o.Tokens)
	r := &recorder{latencies: newLatencies()}
	before := usage()
	begun := time.Now()
	total := int(o.Rate * o.Duration.Seconds())
	var wait sync.WaitGroup
	for i := range total {
		due := begun.Add(time.Duration(float64(i) / o.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		address := addresses[i%len(addresses)]
		wait.Go(func() { r.record(due, one(ctx, client, address, body)) })
	}
	wait.Wait()
	return r.sample(time.Since(begun), usage().since(before))
}

// outcome is one request's times and tokens.
type outcome struct {
	first  time.Time
	end    time.Time
	tokens int
	err    error
}

// one makes a request and reads its stream.
func one(ctx context.Context, client *http.Client, address, body string) outcome {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return outcome{err: fmt.Errorf("status %s", response.Status)}
	}
	return readStream(response)
}

func readStream(response *http.Response) outcome {
	var o outcome
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			o.end = time.Now()
			return o
		}
		if o.tokens == 0 {
			o.first = time.Now()
		}
		o.tokens++
	}
	o.err = fmt.Errorf("stream ended without [DONE]: %v", lines.Err())
	return o
}

// recorder gathers outcomes from all requests.
type recorder struct {
	mu        sync.Mutex
	latencies *latencies
	requests  int
	failed    int
	tokens    int
}

func (r *recorder) record(due time.Time, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if o.err != nil {
		r.failed++
		return
	}
	r.tokens += o.tokens
	_ = r.latencies.first.RecordValue(o.first.Sub(due).Microseconds())
	_ = r.latencies.answer.RecordValue(o.end.Sub(due).Microseconds())
}

func (r *recorder) sample(elapsed time.Duration, used resources) Sample {
	return Sample{
		Requests:       r.requests,
		Failed:         r.failed,
		Tokens:         r.tokens,
		FirstP50:       quantile(r.latencies.first, 50),
		FirstP99:       quantile(r.latencies.first, 99),
		AnswerP50:      quantile(r.latencies.answer, 50),
		AnswerP99:      quantile(r.latencies.answer, 99),
		CPU:            used.cpu,
		Allocations:    used.allocations,
		AllocatedBytes: used.bytes,
		Elapsed:        elapsed,
	}
}

// resources are a process's totals.
type resources struct {
	cpu         time.Duration
	allocations uint64
	bytes       uint64
}

func usage() resources {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	cpu := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	return resources{cpu: cpu, allocations: m.Mallocs, bytes: m.TotalAlloc}
}

func (r resources) since(before resources) resources {
	return resources{
		cpu:         r.cpu - before.cpu,
		allocations: r.allocations - before.allocations,
		bytes:       r.bytes - before.bytes,
	}
}

func sumOf(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}
