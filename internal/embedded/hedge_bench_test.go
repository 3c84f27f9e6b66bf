package embedded

import (
	"slices"
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/fault"
)

const (
	benchRequests = 400
	benchInterval = 20 * time.Millisecond
)

// BenchmarkHedge gives one engine of four ten times the others' time and
// prints the first token times with and without hedges; run it with
// -bench Hedge -benchtime 1x.
func BenchmarkHedge(b *testing.B) {
	hedged := strings.Replace(defaultConfig, "target_first_token: 800ms", "target_first_token: 800ms\n    hedge: true", 1)
	for name, text := range map[string]string{"off": defaultConfig, "on": hedged} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				first, attempts, tokens := straggled(b, text)
				b.ReportMetric(float64(first[len(first)/2].Milliseconds()), "p50-ms")
				b.ReportMetric(float64(first[len(first)*99/100].Milliseconds()), "p99-ms")
				b.ReportMetric(attempts, "attempts/request")
				b.ReportMetric(tokens, "tokens/request")
			}
		})
	}
}

// straggled returns the sorted first token times, and the attempts and tokens
// that the engines made for each request.
func straggled(b *testing.B, config string) (first []time.Duration, attempts, tokens float64) {
	d, err := Start(Options{Nodes: 1, Config: config, Engine: engine.Options{PrefillPerToken: 2 * time.Millisecond}})
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	if err := d.Engine(0).Faults().Switch(fault.Spec{Kind: fault.Straggler}); err != nil {
		b.Fatal(err)
	}
	times := make(chan time.Duration, benchRequests)
	ticker := time.NewTicker(benchInterval)
	defer ticker.Stop()
	for range benchRequests {
		<-ticker.C
		go func() { times <- firstToken(b, d) }()
	}
	for range benchRequests {
		first = append(first, <-times)
	}
	slices.Sort(first)
	for i := range d.options.Engines {
		totals := d.Engine(i).Runs().Report().Totals
		attempts += float64(totals.Begun) / benchRequests
		tokens += float64(totals.Tokens) / benchRequests
	}
	return first, attempts, tokens
}

// firstToken makes one request, reads its whole stream and returns the time to
// its first event.
func firstToken(b *testing.B, d *Deployment) time.Duration {
	began := time.Now()
	stream := chatStream(b, d, 0, prompt, 8)
	if _, ok := stream.next(); !ok {
		b.Error("no first event")
	}
	took := time.Since(began)
	if _, end := stream.read(1); end != "[DONE]" {
		b.Errorf("stream ends with %q", end)
	}
	return took
}
