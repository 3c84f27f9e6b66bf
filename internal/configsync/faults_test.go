package configsync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform/memstore"
)

const (
	// faultSeeds is the number of random histories, each of faultRounds rounds
	// of a second or so with one fault and two operators at work.
	faultSeeds  = 12
	faultRounds = 20
	faultNodes  = 6
)

// chaos is one random history. It records what operators were told and what
// each node had in force, and checks them against each other.
type chaos struct {
	*cluster
	random *rand.Rand

	mu sync.Mutex
	// told are the ids that operators were told to be accepted, refused those
	// that they were told not to be.
	told    map[string]int64
	refused map[string]bool
	// seen is the one id that any node had in force under a revision.
	seen map[int64]string
	// last is the highest revision seen in force at a node since it started.
	last map[*testNode]int64
}

// TestRandomFaults checks, whatever happens: no node ever goes back; a revision
// is one document everywhere; what was told to be accepted is in the history,
// and what was told to be refused is not; and once the faults end all nodes have
// the newest.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) { runChaos(t, seed) })
		})
	}
}

func runChaos(t *testing.T, seed uint64) {
	c := &chaos{
		cluster: newCluster(t, faultNodes), random: rand.New(rand.NewPCG(seed, 1)),
		told: map[string]int64{}, refused: map[string]bool{}, seen: map[int64]string{}, last: map[*testNode]int64{},
	}
	c.start()
	defer c.halt()
	for round := range faultRounds {
		c.breakSomething()
		var operators sync.WaitGroup
		for i := range 2 {
			node, weight := c.nodes[c.random.IntN(faultNodes)], 2*round+i+1
			operators.Go(func() { c.operate(node, weight) })
		}
		for range 10 {
			time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
			c.look()
		}
		operators.Wait()
		c.mendSome()
	}
	c.mendAll()
	time.Sleep(30 * time.Second)
	c.look()
	c.checkEnd()
}

// operate proposes and confirms one document and notes what it is told.
func (c *chaos) operate(node *testNode, weight int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	proposal, err := node.Propose(ctx, Request{Document: document(c.t, weight), Author: node.name})
	if err != nil {
		return
	}
	record, err := node.Confirm(ctx, proposal.Record.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	var stale *StaleError
	switch {
	case err == nil:
		c.told[record.ID] = record.Revision
	case errors.As(err, &stale):
		c.refused[proposal.Record.ID] = true
	}
}

// look checks what the nodes have in force now.
func (c *chaos) look() {
	c.t.Helper()
	for _, n := range c.nodes {
		state := n.state.State()
		if state == nil {
			continue
		}
		revision := state.Revision()
		if revision < c.last[n] {
			c.t.Fatalf("%s went back from revision %d to %d", n.name, c.last[n], revision)
		}
		c.last[n] = revision
		if id, known := c.seen[revision]; known && id != state.ID {
			c.t.Fatalf("revision %d is %s and %s", revision, id, state.ID)
		}
		c.seen[revision] = state.ID
	}
}

func (c *chaos) breakSomething() {
	c.t.Helper()
	node := c.random.IntN(faultNodes)
	switch c.random.IntN(7) {
	case 0:
		c.inject(memstore.Fault{Kind: memstore.Down, For: 2 * time.Second})
	case 1:
		c.inject(memstore.Fault{Kind: memstore.LostAnswer, Factor: 0.5})
	case 2:
		c.inject(memstore.Fault{Kind: memstore.WatchGap})
	case 3:
		c.inject(memstore.Fault{Kind: memstore.Slow, Factor: 400})
	case 4:
		c.nodes[node].store.down.Store(true)
	case 5:
		// A one-way cut: nobody hears the node.
		name := c.nodes[node].name
		c.setCut(func(from, _, _ string) bool { return from == name })
	case 6:
		c.restart(node)
	}
}

func (c *chaos) inject(fault memstore.Fault) {
	c.t.Helper()
	if err := c.store.Inject(fault); err != nil {
		c.t.Fatal(err)
	}
}

// restart replaces a node by one that has nothing.
func (c *chaos) restart(i int) {
	c.nodes[i].halt()
	fresh := c.newNode(c.nodes[i].name, c.random.Uint64())
	c.cluster.mu.Lock()
	c.nodes[i] = fresh
	c.cluster.mu.Unlock()
	fresh.start()
}

func (c *chaos) mendSome() {
	if c.random.IntN(2) == 0 {
		c.mendAll()
	}
}

func (c *chaos) mendAll() {
	c.store.ClearAll()
	c.setCut(func(string, string, string) bool { return false })
	for _, n := range c.nodes {
		n.store.down.Store(false)
	}
}

func (c *chaos) checkEnd() {
	c.t.Helper()
	history, err := c.nodes[0].repository.History(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	accepted := make(map[string]int64, len(history))
	for _, record := range history {
		accepted[record.ID] = record.Revision
	}
	for id, revision := range c.told {
		if accepted[id] != revision {
			c.t.Errorf("%s was told to be revision %d, the history has %d", id, revision, accepted[id])
		}
	}
	for id := range c.refused {
		if revision, is := accepted[id]; is {
			c.t.Errorf("%s was told to be refused and is revision %d", id, revision)
		}
	}
	for revision, id := range c.seen {
		if accepted[id] != revision {
			c.t.Errorf("%s was in force as revision %d and was not accepted as that", id, revision)
		}
	}
	for _, n := range c.nodes {
		if got := n.state.Revision(); got != history[0].Revision {
			c.t.Errorf("%s has revision %d in force, the newest is %d", n.name, got, history[0].Revision)
		}
	}
	c.t.Logf("%d accepted, %d told so, %d told stale", len(history), len(c.told), len(c.refused))
	if len(c.told) == 0 || len(c.refused) == 0 {
		c.t.Error("the history has no acceptance or no race")
	}
}
