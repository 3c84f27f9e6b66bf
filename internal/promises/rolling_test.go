package promises

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"galenatrestle/internal/embedded"
	"galenatrestle/internal/gateway"
	"galenatrestle/internal/standin/engine"
)

// keeper is a caller that keeps an entry address for a while, as callers do.
type keeper struct {
	d *embedded.Deployment
	// asked holds the addresses it may ask for entries, newest first.
	asked   atomic.Pointer[[]string]
	mu      sync.Mutex
	address string
	until   time.Time
}

// keep is how long addresses are kept. As in a deployment, a stopped node goes on
// serving for a second longer, in which the others hear that it leaves.
const (
	keep     = 300 * time.Millisecond
	keepTime = keep + time.Second
)

// entry returns the address in use, and asks again once it is too old.
func (k *keeper) entry() (string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Now().Before(k.until) {
		return k.address, nil
	}
	until := time.Now().Add(keep)
	for _, address := range *k.asked.Load() {
		list, err := entriesOf(address)
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		k.address, k.until = list.Entries[0].Address, until
		addresses := make([]string, 0, len(list.Entries))
		for _, e := range list.Entries {
			addresses = append(addresses, e.Address)
		}
		k.asked.Store(&addresses)
		return k.address, nil
	}
	return "", fmt.Errorf("no address answers GET /entries")
}

func entriesOf(address string) (gateway.EntryList, error) {
	var list gateway.EntryList
	response, err := http.Get("http://" + address + "/entries")
	if err != nil {
		return list, err
	}
	defer response.Body.Close()
	return list, json.NewDecoder(response.Body).Decode(&list)
}

// TestReplacingEveryNodeCutsNothing replaces all eight nodes one after the
// other under load: no request is cut, lost or run twice.
func TestReplacingEveryNodeCutsNothing(t *testing.T) {
	const nodes, callers = 8, 6
	d := start(t, embedded.Options{Nodes: nodes, KeepTime: keepTime, Engine: engine.Options{Speed: 5}})
	first := []string{d.Nodes[0].EntryAddress(), d.Nodes[nodes-1].EntryAddress()}
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var answered atomic.Int64
	for c := range callers {
		k := &keeper{d: d}
		k.asked.Store(&first)
		wait.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				if err := k.work(fmt.Sprintf("%d-%d", c, i), i%4 == 0); err != nil {
					t.Errorf("caller %d, request %d: %v", c, i, err)
					return
				}
				answered.Add(1)
			}
		})
	}
	for i := range nodes {
		replace(t, d, i)
	}
	stop()
	wait.Wait()
	t.Logf("%d requests while %d nodes were replaced", answered.Load(), nodes)
	if answered.Load() < nodes*callers {
		t.Errorf("only %d requests were made: the test shows little", answered.Load())
	}
	for i := range d.Services() {
		for _, run := range d.Service(i).Runs().Report().Runs {
			if !run.Completed {
				t.Errorf("call %s was begun and not completed", run.IdempotencyKey)
			}
		}
	}
	checkOnce(t, d)
}

// replace stops a node as planned and starts another in its place.
func replace(t *testing.T, d *embedded.Deployment, i int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := d.Nodes[i].Stop(ctx); err != nil {
		t.Errorf("stop node %d: %v", i, err)
	}
	if err := d.Replace(i, true); err != nil {
		t.Error(err)
	}
}

// work makes one request, an unrepeatable call or a stream, and checks its answer.
func (k *keeper) work(name string, unrepeatable bool) error {
	address, err := k.entry()
	if err != nil {
		return err
	}
	if unrepeatable {
		o := settle(context.Background(), address, "roll-"+name)
		if o.status != http.StatusOK {
			return fmt.Errorf("unrepeatable call at %s: %+v (error: %v)", address, o, o.err)
		}
		return nil
	}
	c := call{address: address, key: embedded.PrairieKey, class: "counter", prompt: "question " + name, tokens: 30, stream: true}
	o := chat(context.Background(), c)
	if want := engine.ExpectedAnswer(c.prompt, c.tokens); !o.clean || o.text != want {
		return fmt.Errorf("chat at %s: %+v (error: %v)", address, o, o.err)
	}
	return nil
}

// checkOnce checks that no idempotency key ran twice.
func checkOnce(t *testing.T, d *embedded.Deployment) {
	t.Helper()
	ran := make(map[string]int)
	for i := range d.Services() {
		for _, run := range d.Service(i).Runs().Report().Runs {
			ran[run.IdempotencyKey]++
		}
	}
	for key, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}
