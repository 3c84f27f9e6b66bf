package faultrun

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/embedded"
	"galenatrestle/internal/node"
)

// nodeEnd is when and how a node's time ended.
type nodeEnd struct {
	at     time.Time
	killed bool
}

// fleet is the deployment with its nodes as they change.
type fleet struct {
	deployment *embedded.Deployment
	// change is held while a node is taken away or replaced.
	change sync.Mutex

	mu    sync.Mutex
	nodes []*node.Node
	// replacing says that a node may serve that is not in nodes yet.
	replacing bool
	// ends holds the ended nodes by their entry address.
	ends map[string]nodeEnd
	// accepted is the highest accepted revision.
	accepted int64
	// listed are the engines that the platform's list says are leaving.
	listed   map[int]bool
	problems []Violation
}

func newFleet(d *embedded.Deployment) *fleet {
	return &fleet{
		deployment: d,
		nodes:      append([]*node.Node(nil), d.Nodes...),
		ends:       make(map[string]nodeEnd),
		accepted:   d.Nodes[0].ConfigRevision(),
		listed:     make(map[int]bool),
	}
}

// current returns the nodes now, and whether they are all there are.
func (f *fleet) current() (nodes []*node.Node, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node.Node(nil), f.nodes...), !f.replacing
}

// endOf returns how the node at the entry address ended, if it did.
func (f *fleet) endOf(address string) (nodeEnd, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end, ended := f.ends[address]
	return end, ended
}

func (f *fleet) broken(promise, detail string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.problems = append(f.problems, Violation{Promise: promise, Detail: detail})
}

// begin notes that a node is about to be taken away.
func (f *fleet) begin(i int, killed bool) *node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replacing = true
	f.ends[f.nodes[i].EntryAddress()] = nodeEnd{at: time.Now(), killed: killed}
	return f.nodes[i]
}

// kill ends a node, waits, and starts another in its place.
func (f *fleet) kill(i int, gone time.Duration) error {
	f.change.Lock()
	defer f.change.Unlock()
	f.begin(i, true)
	f.deployment.Kill(i)
	time.Sleep(gone)
	return f.replace(i)
}

// stop ends a node as planned and starts another in its place.
func (f *fleet) stop(i int) error {
	f.change.Lock()
	defer f.change.Unlock()
	n := f.begin(i, false)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		f.broken(promiseStop, n.Name()+" did not end: "+err.Error())
		n.Close()
	}
	return f.replace(i)
}

func (f *fleet) replace(i int) error {
	if err := f.deployment.Replace(i, true); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = f.deployment.Nodes[i]
	f.replacing = false
	return nil
}

// cut takes the platform from a node for a while.
func (f *fleet) cut(i int, lasts time.Duration) {
	f.change.Lock()
	f.deployment.CutPlatform(i)
	f.change.Unlock()
	time.Sleep(lasts)
	f.change.Lock()
	defer f.change.Unlock()
	f.deployment.RestorePlatform(i)
}

// mend ends what is still wrong.
func (f *fleet) mend() {
	f.change.Lock()
	defer f.change.Unlock()
	for i := range f.nodes {
		f.deployment.RestorePlatform(i)
	}
	f.deployment.Platform().ClearAll()
	for i := range f.deployment.Engines() {
		f.deployment.Engine(i).Faults().ClearAll()
	}
	for i := range f.deployment.Services() {
		f.deployment.Service(i).Faults().ClearAll()
	}
}
