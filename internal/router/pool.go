package router

import (
	"math/rand/v2"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

// Pool decides for one upstream at one node. Each request that Submit admits
// ends in exactly one of a binding or a refusal by Next, or a Cancel.
type Pool struct {
	upstream string
	zone     string
	rand     *rand.Rand
	classes  map[string]*classState
	weights  map[string]float64
	replicas map[string]*replicaState
	// order lists the replicas in the order they were configured.
	order    []*replicaState
	waiting  map[string]*waiting
	running  map[string]*running
	queue    *queue
	expiry   expiryHeap
	sequence uint64
	// changedAt is when something changed that Next has not yet looked at.
	changedAt time.Time
	stats     Stats
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	options = options.withDefaults()
	p := &Pool{
		upstream: options.Upstream,
		zone:     options.AvailabilityZone,
		rand:     options.Rand,
		classes:  make(map[string]*classState),
		replicas: make(map[string]*replicaState),
		waiting:  make(map[string]*waiting),
		running:  make(map[string]*running),
		queue:    newQueue(),
	}
	p.SetClasses(time.Time{}, options.Classes)
	p.SetReplicas(time.Time{}, options.Replicas)
	p.SetWeights(options.Weights)
	return p
}

// SetClasses puts a new list of classes in force. Requests of a class that is
// no longer listed go on under its last settings.
func (p *Pool) SetClasses(now time.Time, classes []config.Class) {
	listed := make(map[string]bool, len(classes))
	for _, class := range classes {
		class = withClassDefaults(class)
		listed[class.Name] = true
		if state, ok := p.classes[class.Name]; ok {
			state.Class = class
			continue
		}
		p.classes[class.Name] = &classState{Class: class}
	}
	for name, state := range p.classes {
		if !listed[name] && state.waiting+state.running == 0 {
			delete(p.classes, name)
		}
		state.retired = !listed[name]
	}
	p.changedAt = now
}

// SetWeights puts the workspaces' fair shares in force.
func (p *Pool) SetWeights(weights map[string]float64) {
	p.weights = weights
}

// Submit admits a request to the queue or refuses it at once. A request that
// waits or runs already is refused as in progress: a second attempt in parallel
// needs an ID of its own. Call Next afterwards.
func (p *Pool) Submit(now time.Time, request Request) *refusal.Error {
	class, ok := p.classes[request.Class]
	if !ok || class.retired {
		return refuseUnknownClass(&request)
	}
	if p.known(request.ID) {
		return refuse(&request, refusal.InProgress, stepAdmit, "the request waits or runs already", 0)
	}
	if !request.GiveUpAt.After(now) {
		return refuse(&request, refusal.TooLate, stepAdmit, "the answer would be of no use any more", 0)
	}
	if !p.anyOpen() {
		return refuse(&request, refusal.NoReplica, stepAdmit, "no replica takes new requests", 0)
	}
	if class.waiting >= class.QueueBound {
		return refuseQueueFull(&request, class)
	}
	p.enqueue(now, request, class)
	return nil
}

func (p *Pool) known(id string) bool {
	_, waits := p.waiting[id]
	_, runs := p.running[id]
	return waits || runs
}

func (p *Pool) enqueue(now time.Time, request Request, class *classState) {
	p.sequence++
	request.Tier = class.Tier
	w := &waiting{request: request, class: class, sequence: p.sequence}
	p.waiting[request.ID] = w
	class.waiting++
	p.queue.push(w)
	p.pushExpiry(w)
	p.changedAt = now
}

// Cancel takes a waiting request out. It does nothing for one that does not wait.
func (p *Pool) Cancel(now time.Time, id string) {
	w, ok := p.waiting[id]
	if !ok {
		return
	}
	p.leaveQueue(w)
	p.stats.Cancelled++
	p.changedAt = now
}

// leaveQueue takes w out of all counts; the heaps drop it when they meet it.
func (p *Pool) leaveQueue(w *waiting) {
	w.gone = true
	w.class.waiting--
	delete(p.waiting, w.request.ID)
}

// Deadline returns when Next must be called again at the latest; zero is never.
func (p *Pool) Deadline(now time.Time) time.Time {
	if !p.changedAt.IsZero() {
		return now
	}
	return p.expiry.next()
}
