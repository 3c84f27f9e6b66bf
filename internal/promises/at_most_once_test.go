package promises

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/embedded"
	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/standin/fault"
)

// settle makes an unrepeatable call.
func settle(ctx context.Context, address, idempotencyKey string) outcome {
	c := call{
		address: address, key: embedded.PrairieKey, class: "counter",
		header: map[string]string{"Idempotency-Key": idempotencyKey},
	}
	response, err := post(ctx, c, "/services/member-ledger/claims", `{"account":"shop-17"}`)
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	o := outcomeOf(response)
	body, err := io.ReadAll(response.Body)
	o.text, o.err = string(body), err
	return o
}

// TestUnrepeatableCallsRunAtMostOnce sends each of many keys to three nodes at
// once, and again, while a service crashes in mid-answer, the platform loses
// answers of writes that took effect, and a node is killed.
func TestUnrepeatableCallsRunAtMostOnce(t *testing.T) {
	d := start(t, embedded.Options{})
	breakWith(t, d.Service(0).Faults(), fault.Spec{Kind: fault.CrashMidAnswer})
	const keys = 60
	rounds := []func(){
		func() {},
		func() { loseAnswers(t, d) },
		func() { d.Kill(2) },
	}
	told := make(map[string][]outcome)
	for round, disturb := range rounds {
		disturb()
		for key, outcomes := range settleAll(d, keys, len(d.Nodes)-round/2, round) {
			told[key] = append(told[key], outcomes...)
		}
	}
	checkRuns(t, d, told)
}

// settleAll sends keys at once, each to every one of the first nodes.
func settleAll(d *embedded.Deployment, keys, nodes, round int) map[string][]outcome {
	var mu sync.Mutex
	told := make(map[string][]outcome)
	var wait sync.WaitGroup
	for k := range keys {
		// Half of the keys are new in each round, half are repeats.
		key := fmt.Sprintf("claim-%d", k)
		if k%2 == 0 {
			key = fmt.Sprintf("claim-%d-%d", round, k)
		}
		for n := range nodes {
			address := d.Nodes[n].EntryAddress()
			wait.Go(func() {
				o := settle(context.Background(), address, key)
				mu.Lock()
				defer mu.Unlock()
				told[key] = append(told[key], o)
			})
		}
	}
	wait.Wait()
	return told
}

// checkRuns compares what callers were told with what the services ran.
func checkRuns(t *testing.T, d *embedded.Deployment, told map[string][]outcome) {
	t.Helper()
	ran := make(map[string]int)
	for i := range d.Services() {
		for _, run := range d.Service(i).Runs().Report().Runs {
			ran[run.IdempotencyKey]++
		}
	}
	answered := 0
	for key, outcomes := range told {
		if ran[key] > 1 {
			t.Errorf("%s ran %d times", key, ran[key])
		}
		bodies := make(map[string]bool)
		allNotRun := true
		for _, o := range outcomes {
			if o.status == 200 {
				bodies[o.text] = true
				answered++
			}
			allNotRun = allNotRun && o.refusal == "not-run"
		}
		if len(bodies) > 1 {
			t.Errorf("%s: callers got %d different answers", key, len(bodies))
		}
		if allNotRun && ran[key] > 0 {
			t.Errorf("%s: every caller was told not-run, yet it ran", key)
		}
	}
	if answered < len(told) {
		t.Errorf("only %d answers for %d keys: the test shows little", answered, len(told))
	}
}

// loseAnswers lets some of the platform's answers be lost for a while.
func loseAnswers(t *testing.T, d *embedded.Deployment) {
	t.Helper()
	err := d.Platform().Inject(memstore.Fault{Kind: memstore.LostAnswer, For: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
}
