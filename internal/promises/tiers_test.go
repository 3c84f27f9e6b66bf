package promises

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"galenatrestle/internal/embedded"
	"galenatrestle/internal/standin/engine"
)

// crowdedConfig has one tier above another on two small engines; the lower
// one's share is due soon.
const crowdedConfig = `
workspaces:
  - name: prairie-spoke
    key_sha256: [{{ .KeySum "dev-key-prairie-spoke" }}]
    classes: [counter, review]
    upstreams: [trestle-llm]
classes:
  - {name: counter, tier: 0, target_answer: 10s, give_up_after: 1m}
  - {name: review, tier: 2, target_answer: 20s, give_up_after: 2m, min_share: 0.1, min_share_after: 200ms, queue_bound: 40}
upstreams:
  - name: trestle-llm
    kind: engine
    slots_per_replica: 2
    replicas:
{{- range .Engines }}
      - {name: {{ .Name }}, address: "{{ .Address }}", availability_zone: {{ .AvailabilityZone }}}
{{- end }}
`

func crowded(t *testing.T) *embedded.Deployment {
	t.Helper()
	return start(t, embedded.Options{
		Nodes: 2, Engines: 2, Config: crowdedConfig,
		Engine: engine.Options{Speed: 10, Slots: 2},
	})
}

// inTurn makes n calls in a closed loop of the given width.
func inTurn(d *embedded.Deployment, class string, n, width, tokens int) []outcome {
	outcomes := make([]outcome, n)
	next := make(chan int, n)
	for i := range n {
		next <- i
	}
	close(next)
	var wait sync.WaitGroup
	for range width {
		wait.Go(func() {
			for i := range next {
				outcomes[i] = chat(context.Background(), call{
					address: d.Nodes[i%len(d.Nodes)].EntryAddress(), key: embedded.PrairieKey,
					class: class, prompt: fmt.Sprintf("%s %d", class, i), tokens: tokens, stream: i%2 == 0,
				})
			}
		})
	}
	wait.Wait()
	return outcomes
}

// TestHigherTierIsNeverShedForALower keeps the engines and the queues full with
// the lower tier, more of it than they hold, while the higher tier asks for
// little.
func TestHigherTierIsNeverShedForALower(t *testing.T) {
	d := crowded(t)
	flood := crowdWith(d, call{class: "review", prompt: "a long review", tokens: 30}, 120)
	high := inTurn(d, "counter", 40, 2, 5)
	low := flood()
	for i, o := range high {
		if want := engine.ExpectedAnswer(fmt.Sprintf("counter %d", i), 5); !o.clean || o.text != want {
			t.Errorf("higher-tier call %d was not served: %+v", i, o)
		}
	}
	if low.refused == 0 || low.answered == 0 {
		t.Errorf("of the lower tier %d were refused, %d answered: the test did not crowd the engines", low.refused, low.answered)
	}
}

// TestEveryClassIsServed keeps the engines full with the higher tier and checks
// that each request of the lower one is served within its time.
func TestEveryClassIsServed(t *testing.T) {
	d := crowded(t)
	flood := crowdWith(d, call{class: "counter", prompt: "crowd", tokens: 20}, 24)
	low := inTurn(d, "review", 8, 4, 10)
	flood()
	for i, o := range low {
		if want := engine.ExpectedAnswer(fmt.Sprintf("review %d", i), 10); !o.clean || o.text != want {
			t.Errorf("lower-tier call %d was not served beside a full higher tier: %+v", i, o)
		}
	}
}

// crowd counts what became of a crowd's calls.
type crowd struct {
	answered int
	refused  int
}

// crowdWith lets callers make the call one time after the other, until the
// returned function is called, which waits for the last of them.
func crowdWith(d *embedded.Deployment, c call, callers int) func() crowd {
	ctx, stop := context.WithCancel(context.Background())
	var mu sync.Mutex
	var sum crowd
	var wait sync.WaitGroup
	for i := range callers {
		own := c
		own.key = embedded.PrairieKey
		own.address = d.Nodes[i%len(d.Nodes)].EntryAddress()
		wait.Go(func() {
			for ctx.Err() == nil {
				o := chat(context.Background(), own)
				mu.Lock()
				if o.clean {
					sum.answered++
				} else {
					sum.refused++
				}
				mu.Unlock()
			}
		})
	}
	return func() crowd {
		stop()
		wait.Wait()
		return sum
	}
}
