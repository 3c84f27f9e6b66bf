package router

import (
	"math"
	"math/rand/v2"
	"time"

	"galenatrestle/internal/balancer"
	"galenatrestle/internal/config"
	"galenatrestle/internal/estimate"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/scheduler"
)

// Pool decides for one upstream at one node. Each request that Submit admits
// ends in exactly one of a binding or a refusal by Next, or a Cancel.
type Pool struct {
	upstream string
	zone     string
	rand     *rand.Rand
	without  Features
	// maxWaiting bounds the waiting requests of all classes together.
	maxWaiting int
	classes    map[string]*classState
	replicas   map[string]*replicaState
	// order lists the replicas in the order they were configured.
	order    []*replicaState
	waiting  map[string]*item
	running  map[string]*running
	queue    *scheduler.Queue[*waiting]
	lengths  *estimate.Lengths
	speed    estimate.Speed
	balancer balancer.Policy
	// usual is the replicas' usual time between tokens, reference that of
	// an almost idle one, both in seconds; comparedAt is when they were
	// worked out.
	usual          float64
	reference      float64
	comparedAt     time.Time
	longestPrefill time.Duration
	// cacheGain is the part of a prefill that a cached prefix saves.
	cacheGain   float64
	highestTier int
	// Buffers that are used again.
	values     []float64
	free       []*replicaState
	candidates []balancer.Candidate
	// shed holds refusals that the next Next returns.
	shed []Decision
	// changedAt is when something changed that Next has not yet looked at.
	changedAt time.Time
	stats     Stats
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	options = options.withDefaults()
	p := &Pool{
		upstream:   options.Upstream,
		zone:       options.AvailabilityZone,
		rand:       options.Rand,
		without:    options.Disabled,
		maxWaiting: options.MaxWaiting,
		classes:    make(map[string]*classState),
		replicas:   make(map[string]*replicaState),
		waiting:    make(map[string]*item),
		running:    make(map[string]*running),
		queue:      scheduler.NewQueue[*waiting](),
		lengths:    estimate.NewLengths(options.MaxSketches),
		balancer:   balancer.ExpectedFinish{Rand: options.Rand},
		cacheGain:  usualGain,
	}
	if p.without.ExpectedFinish {
		p.balancer = balancer.TwoChoices{Rand: options.Rand}
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
		listed[class.Name] = true
		p.setClass(withClassDefaults(class))
	}
	for name, state := range p.classes {
		state.retired = !listed[name]
	}
	p.highestTier = highestTier(classes)
	p.forgetRetired()
	p.changedAt = now
}

func highestTier(classes []config.Class) int {
	highest := math.MaxInt
	for _, class := range classes {
		highest = min(highest, class.Tier)
	}
	return highest
}

func (p *Pool) setClass(class config.Class) {
	p.queue.SetClass(schedulerClass(class, p.without))
	state, ok := p.classes[class.Name]
	if !ok {
		state = &classState{}
		p.classes[class.Name] = state
	}
	state.Class = class
}

// forgetRetired drops the retired classes in which nothing waits or runs.
func (p *Pool) forgetRetired() {
	for name, state := range p.classes {
		if state.retired && state.waiting+state.running == 0 {
			delete(p.classes, name)
			p.queue.RemoveClass(name)
		}
	}
	p.lengths.RetainClasses(func(class string) bool { return p.classes[class] != nil })
}

// SetWeights puts the workspaces' fair shares in force.
func (p *Pool) SetWeights(weights map[string]float64) {
	p.queue.SetWeights(weights)
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
	if !p.hopeful(now, &request, class) {
		return refuse(&request, refusal.TooLate, stepAdmit, "an answer is expected to take longer than it is of use", 0)
	}
	if class.waiting >= class.QueueBound || !p.makeRoom(now, class) {
		return refuseQueueFull(&request, class)
	}
	p.enqueue(now, request, class)
	return nil
}

// hopeful says whether the request may be of use if it ran at once. It is asked
// only while requests of the same or a higher tier wait: a request is never
// refused by expectation for the sake of lower tiers, or of an idle replica.
func (p *Pool) hopeful(now time.Time, request *Request, class *classState) bool {
	first := p.queue.FirstTier()
	if p.without.Admission || first < 0 || first > class.Tier {
		return true
	}
	return class.gate.Admit(p.service(request, estimate.Median), request.GiveUpAt.Sub(now))
}

func (p *Pool) known(id string) bool {
	_, waits := p.waiting[id]
	_, runs := p.running[id]
	return waits || runs
}

// makeRoom sheds a request of the lowest tier, if that is below class's, where
// the pool is full.
func (p *Pool) makeRoom(now time.Time, class *classState) bool {
	if p.queue.Len() < p.maxWaiting {
		return true
	}
	victim := p.queue.Shed(class.Tier)
	if victim == nil {
		return false
	}
	p.shed = append(p.shed, p.giveUp(victim, refusal.ShedForHigherTier, "requests of a higher tier took its place"))
	p.changedAt = now
	return true
}

func (p *Pool) enqueue(now time.Time, request Request, class *classState) {
	request.Tier = class.Tier
	i := p.newItem(request, class)
	p.waiting[request.ID] = i
	class.waiting++
	p.queue.Push(now, class.Name, i)
	p.changedAt = now
}

// Cancel takes a waiting request out. It does nothing for one that does not wait.
func (p *Pool) Cancel(now time.Time, id string) {
	i, ok := p.waiting[id]
	if !ok {
		return
	}
	p.queue.Remove(i)
	p.leave(i)
	p.stats.Cancelled++
	p.changedAt = now
}

// leave takes a request that left the queue out of the counts.
func (p *Pool) leave(i *item) {
	i.Value.class.waiting--
	delete(p.waiting, i.Value.request.ID)
}

// Deadline returns when Next must be called again at the latest; zero is never.
func (p *Pool) Deadline(now time.Time) time.Time {
	if !p.changedAt.IsZero() {
		return now
	}
	next := earlier(p.queue.NextExpiry(), p.reopens(now))
	if p.queue.Len() == 0 || !p.anyFree(now) {
		return next
	}
	// Requests wait though a replica is free: it is a straggler, which is
	// forgotten with time.
	return earlier(next, now.Add(lookAgain))
}

// earlier returns the earlier of two times, of which zero is never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// lookAgain is when to look again at a free straggler.
const lookAgain = 250 * time.Millisecond
