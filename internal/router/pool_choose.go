package router

import (
	"slices"
	"time"

	"galenatrestle/internal/balancer"
	"galenatrestle/internal/estimate"
)

// choose returns an eligible replica with a free slot, or nil if there is none.
func (p *Pool) choose(now time.Time, request *Request) (*replicaState, Choice) {
	free := p.preferUntriedZones(request, p.eligibleReplicas(now, request))
	if len(free) == 0 {
		return nil, Choice{}
	}
	p.candidateBuffer = p.candidateBuffer[:0]
	for _, r := range free {
		p.candidateBuffer = append(p.candidateBuffer, p.candidate(now, request, r))
	}
	requestEstimate := balancer.RequestEstimate{
		Prefill: p.speed.ServiceTime(request.PromptTokens, 0),
		Decode:  p.speed.ServiceTime(0, p.answerTokens(request, estimate.Median, defaultAnswerTokens)),
	}
	chosen := p.balancer.Choose(requestEstimate, p.candidateBuffer)
	return free[chosen], choiceOf(&p.candidateBuffer[chosen], len(free))
}

func (p *Pool) candidate(now time.Time, request *Request, r *replicaState) balancer.Candidate {
	c := balancer.Candidate{
		Running: r.running, Limit: r.limit(), Slowness: r.slowness,
		CachedFraction:  p.cacheSaving * r.prefixes.Match(request.PrefixHashes),
		SameZone:        r.AvailabilityZone == p.zone,
		ReportedRunning: r.lastReport.Running,
		ReportAge:       -1,
	}
	if !r.lastReport.At.IsZero() {
		c.ReportAge = max(now.Sub(r.lastReport.At), 0)
	}
	return c
}

// eligibleReplicas lists the replicas with a free slot that are fast enough and not in Avoid. If all
// replicas that are fast enough and not in Avoid are busy and one of them is healthy, it returns none,
// so that the request waits for that one. Otherwise it falls back to stragglers, and then to replicas
// in Avoid.
func (p *Pool) eligibleReplicas(now time.Time, request *Request) []*replicaState {
	p.freeBuffer = p.freeBuffer[:0]
	healthyExists := false
	for _, r := range p.orderedReplicas {
		if request.avoids(r) || !p.fastEnough(now, request, r) {
			continue
		}
		healthyExists = healthyExists || r.healthy(now)
		if r.hasFreeSlot(now) {
			p.freeBuffer = append(p.freeBuffer, r)
		}
	}
	if healthyExists || len(p.freeBuffer) > 0 {
		return p.freeBuffer
	}
	for _, r := range p.orderedReplicas {
		if r.hasFreeSlot(now) && !request.avoids(r) {
			p.freeBuffer = append(p.freeBuffer, r)
		}
	}
	if len(p.freeBuffer) > 0 {
		return p.freeBuffer
	}
	for _, r := range p.orderedReplicas {
		if r.hasFreeSlot(now) {
			p.freeBuffer = append(p.freeBuffer, r)
		}
	}
	return p.freeBuffer
}

// preferUntriedZones drops replicas in zones where an earlier attempt failed, if others are left,
// because the failure may affect the whole zone.
func (p *Pool) preferUntriedZones(request *Request, free []*replicaState) []*replicaState {
	zoneFailed := func(r *replicaState) bool {
		return slices.ContainsFunc(request.Avoid, func(name string) bool {
			tried, ok := p.replicas[name]
			return ok && tried.AvailabilityZone == r.AvailabilityZone
		})
	}
	if len(request.Avoid) == 0 || !slices.ContainsFunc(free, func(r *replicaState) bool { return !zoneFailed(r) }) {
		return free
	}
	return slices.DeleteFunc(free, zoneFailed)
}

func (r *Request) avoids(replica *replicaState) bool {
	return slices.Contains(r.Avoid, replica.Name)
}

// fastEnough accepts a straggler only for requests below the highest tier that can still meet their
// target on it.
func (p *Pool) fastEnough(now time.Time, request *Request, r *replicaState) bool {
	if !r.isStraggler() {
		return true
	}
	if request.Tier == p.highestTier {
		return false
	}
	slowServiceTime := time.Duration(r.slowness * float64(p.serviceTime(request, estimate.P90)))
	return !request.AnswerBy.IsZero() && now.Add(slowServiceTime).Before(request.AnswerBy)
}

func (p *Pool) anyHasFreeSlot(now time.Time) bool {
	return slices.ContainsFunc(p.orderedReplicas, func(r *replicaState) bool { return r.hasFreeSlot(now) })
}

func (p *Pool) anyAcceptsNew() bool {
	return slices.ContainsFunc(p.orderedReplicas, (*replicaState).acceptsNew)
}
