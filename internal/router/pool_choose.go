package router

import (
	"slices"
	"time"

	"galenatrestle/internal/balancer"
	"galenatrestle/internal/estimate"
)

// choose returns the replica for the request and the grounds, or nil where none
// of the free ones is fit for it.
func (p *Pool) choose(now time.Time, request *Request) (*replicaState, Choice) {
	free := p.elsewhere(request, p.fit(now, request))
	if len(free) == 0 {
		return nil, Choice{}
	}
	p.candidates = p.candidates[:0]
	for _, r := range free {
		p.candidates = append(p.candidates, p.candidate(now, request, r))
	}
	need := balancer.Need{
		Prefill: p.speed.ServiceTime(request.PromptTokens, 0),
		Answer:  p.speed.ServiceTime(0, p.length(request, estimate.Median, usualTokens)),
	}
	chosen := p.balancer.Choose(need, p.candidates)
	return free[chosen], choiceOf(&p.candidates[chosen], len(free))
}

func (p *Pool) candidate(now time.Time, request *Request, r *replicaState) balancer.Candidate {
	c := balancer.Candidate{
		Running: r.running, Limit: r.limit(), Slowness: r.slowness,
		Cached:          p.cacheGain * r.prefixes.Match(request.PrefixHashes),
		SameZone:        r.AvailabilityZone == p.zone,
		ReportedRunning: r.report.Running,
		ReportAge:       -1,
	}
	if !r.report.At.IsZero() {
		c.ReportAge = max(now.Sub(r.report.At), 0)
	}
	return c
}

// fit lists the free replicas for the request: of those that it need not avoid
// the ones fast enough for it. It waits for these while one of them works; else
// a straggler is better than none, and one to avoid better than waiting for none.
func (p *Pool) fit(now time.Time, request *Request) []*replicaState {
	p.free = p.free[:0]
	worthWaiting := false
	for _, r := range p.order {
		if request.avoids(r) || !p.fastEnough(now, request, r) {
			continue
		}
		worthWaiting = worthWaiting || r.works(now)
		if r.free(now) {
			p.free = append(p.free, r)
		}
	}
	if worthWaiting || len(p.free) > 0 {
		return p.free
	}
	for _, r := range p.order {
		if r.free(now) && !request.avoids(r) {
			p.free = append(p.free, r)
		}
	}
	if len(p.free) > 0 {
		return p.free
	}
	for _, r := range p.order {
		if r.free(now) {
			p.free = append(p.free, r)
		}
	}
	return p.free
}

// elsewhere keeps the replicas in availability zones in which the request has not
// failed yet, where there are any: what one attempt met may have hit its whole
// zone.
func (p *Pool) elsewhere(request *Request, free []*replicaState) []*replicaState {
	failed := func(r *replicaState) bool {
		return slices.ContainsFunc(request.Avoid, func(name string) bool {
			tried, ok := p.replicas[name]
			return ok && tried.AvailabilityZone == r.AvailabilityZone
		})
	}
	if len(request.Avoid) == 0 || !slices.ContainsFunc(free, func(r *replicaState) bool { return !failed(r) }) {
		return free
	}
	return slices.DeleteFunc(free, failed)
}

func (r *Request) avoids(replica *replicaState) bool {
	return slices.Contains(r.Avoid, replica.Name)
}

// fastEnough says whether a straggler may be tried with the request: not with
// one of the highest tier, and only where the target leaves time for it.
func (p *Pool) fastEnough(now time.Time, request *Request, r *replicaState) bool {
	if !r.suspect() {
		return true
	}
	if request.Tier == p.highestTier {
		return false
	}
	slow := time.Duration(r.slowness * float64(p.service(request, estimate.P90)))
	return !request.AnswerBy.IsZero() && now.Add(slow).Before(request.AnswerBy)
}

func (p *Pool) anyFree(now time.Time) bool {
	return slices.ContainsFunc(p.order, func(r *replicaState) bool { return r.free(now) })
}

func (p *Pool) anyOpen() bool {
	return slices.ContainsFunc(p.order, (*replicaState).open)
}
