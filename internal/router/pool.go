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

// Pool schedules the requests of one node to the replicas of one upstream. Each
// request admitted by Submit is bound or refused by Decide, or removed by Cancel,
// exactly once.
type Pool struct {
	upstream   string
	zone       string
	rand       *rand.Rand
	disabled   DisabledFeatures
	maxWaiting int
	classes    map[string]*classState
	replicas   map[string]*replicaState
	// orderedReplicas is in the order in which the replicas were first configured.
	orderedReplicas []*replicaState
	waiting         map[string]*item
	running         map[string]*runningRequest
	queue           *scheduler.Queue[*waitingRequest]
	lengths         *estimate.Lengths
	speed           estimate.Speed
	balancer        balancer.Policy
	// Medians over the replicas, in seconds: the average time between tokens, and the lowest such
	// average, which approximates an idle replica.
	medianTokenTime   float64
	idleTokenTime     float64
	slownessUpdatedAt time.Time
	longestPrefill    time.Duration
	// cacheSaving is the fraction of the prefill time saved by a fully cached prompt.
	cacheSaving float64
	highestTier int
	// Buffers reused between calls.
	medianBuffer    []float64
	freeBuffer      []*replicaState
	candidateBuffer []balancer.Candidate
	// shedDecisions are returned by the next call of Decide.
	shedDecisions []Decision
	// changedAt is the time of the last change that needs a call of Decide, or zero.
	changedAt time.Time
	stats     Stats
}

// NewPool returns a pool without requests.
func NewPool(options Options) *Pool {
	options = options.withDefaults()
	p := &Pool{
		upstream:    options.Upstream,
		zone:        options.AvailabilityZone,
		rand:        options.Rand,
		disabled:    options.Disabled,
		maxWaiting:  options.MaxWaiting,
		classes:     make(map[string]*classState),
		replicas:    make(map[string]*replicaState),
		waiting:     make(map[string]*item),
		running:     make(map[string]*runningRequest),
		queue:       scheduler.NewQueue[*waitingRequest](),
		lengths:     estimate.NewLengths(options.MaxSketches),
		balancer:    balancer.ExpectedFinish{Rand: options.Rand},
		cacheSaving: initialCacheSaving,
	}
	if p.disabled.ExpectedFinish {
		p.balancer = balancer.TwoChoices{Rand: options.Rand}
	}
	p.SetClasses(time.Time{}, options.Classes)
	p.SetReplicas(time.Time{}, options.Replicas)
	p.SetWeights(options.Weights)
	return p
}

// SetClasses replaces the classes. Requests of a removed class keep its last settings.
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
	p.deleteRetiredClasses()
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
	p.queue.SetClass(schedulerClass(class, p.disabled))
	state, ok := p.classes[class.Name]
	if !ok {
		state = &classState{}
		p.classes[class.Name] = state
	}
	state.Class = class
}

func (p *Pool) deleteRetiredClasses() {
	for name, state := range p.classes {
		if state.retired && state.waiting+state.running == 0 {
			delete(p.classes, name)
			p.queue.RemoveClass(name)
		}
	}
	p.lengths.RetainClasses(func(class string) bool { return p.classes[class] != nil })
}

// SetWeights replaces the fair-share weights of the workspaces.
func (p *Pool) SetWeights(weights map[string]float64) {
	p.queue.SetWeights(weights)
}

// Submit queues a request or refuses it at once. IDs that are waiting or running are refused,
// so a hedged attempt needs an ID of its own. The caller must call Decide afterwards.
func (p *Pool) Submit(now time.Time, request Request) *refusal.Error {
	class, ok := p.classes[request.Class]
	if !ok || class.retired {
		return refuseUnknownClass(&request)
	}
	if p.inProgress(request.ID) {
		return refuse(&request, refusal.InProgress, stepAdmit, "a request with this ID is already waiting or running", 0)
	}
	if !request.GiveUpAt.After(now) {
		return refuse(&request, refusal.TooLate, stepAdmit, "the request's time limit has already passed", 0)
	}
	if !p.anyAcceptsNew() {
		return refuse(&request, refusal.NoReplica, stepAdmit, "no replica accepts new requests", 0)
	}
	if !p.mayFinishInTime(now, &request, class) {
		return refuse(&request, refusal.TooLate, stepAdmit, "an answer is expected to take longer than it is of use", 0)
	}
	if class.waiting >= class.QueueBound || !p.makeRoom(now, class) {
		return refuseQueueFull(&request, class)
	}
	p.enqueue(now, request, class)
	return nil
}

// mayFinishInTime rejects requests that are expected to finish too late even if they start at once,
// except for a few that are admitted to correct a wrong estimate. It accepts all while no request of
// the same or a higher tier waits.
func (p *Pool) mayFinishInTime(now time.Time, request *Request, class *classState) bool {
	highestWaiting := p.queue.HighestTier()
	if p.disabled.Admission || highestWaiting < 0 || highestWaiting > class.Tier {
		return true
	}
	return class.gate.Admit(p.serviceTime(request, estimate.Median), request.GiveUpAt.Sub(now))
}

func (p *Pool) inProgress(id string) bool {
	_, waits := p.waiting[id]
	_, runs := p.running[id]
	return waits || runs
}

// makeRoom sheds a request of a lower tier if the pool is full. It returns false if it cannot.
func (p *Pool) makeRoom(now time.Time, class *classState) bool {
	if p.queue.Len() < p.maxWaiting {
		return true
	}
	victim := p.queue.Shed(class.Tier)
	if victim == nil {
		return false
	}
	p.shedDecisions = append(p.shedDecisions, p.refuseWaiting(victim, refusal.ShedForHigherTier, "the queue is full and a request of a higher tier took its place"))
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

// Cancel removes a waiting request; other IDs are ignored.
func (p *Pool) Cancel(now time.Time, id string) {
	i, ok := p.waiting[id]
	if !ok {
		return
	}
	p.queue.Remove(i)
	p.untrackWaiting(i)
	p.stats.Cancelled++
	p.changedAt = now
}

func (p *Pool) untrackWaiting(i *item) {
	i.Value.class.waiting--
	delete(p.waiting, i.Value.request.ID)
}

// Deadline returns the latest time for the next call of Decide; zero if none is needed.
func (p *Pool) Deadline(now time.Time) time.Time {
	if !p.changedAt.IsZero() {
		return now
	}
	next := earlier(p.queue.NextExpiry(), p.nextOpenAt(now))
	if p.queue.Len() == 0 || !p.anyHasFreeSlot(now) {
		return next
	}
	// Waiting requests may have left free replicas unused because these are stragglers, whose
	// slowness decays with time.
	return earlier(next, now.Add(stragglerRecheckInterval))
}

// earlier returns the earlier of two times; zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

const stragglerRecheckInterval = 250 * time.Millisecond
