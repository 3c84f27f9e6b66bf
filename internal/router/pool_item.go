package router

import (
	"time"

	"galenatrestle/internal/estimate"
)

const (
	// estimateTrust is the part of a time limit that an estimate may take
	// up: a wrong estimate then costs order and waiting time, but never
	// refuses a request in the first part of its time.
	estimateTrust = 0.5
	// usualTokens is the cost of a request of unknown length.
	usualTokens = 256
	// arrivalOrder is put in place of slack to order by arrival.
	arrivalOrder = 24 * time.Hour
)

// newItem works out a request's place in the queue.
func (p *Pool) newItem(request Request, class *classState) *item {
	i := &item{
		Workspace: request.Workspace,
		Arrived:   request.Arrived,
		Latest:    p.latestStart(&request),
		Useless:   p.uselessFrom(&request),
		Cost:      float64(request.PromptTokens) + p.length(&request, estimate.Median, usualTokens),
		Value:     &waiting{request: request, class: class},
	}
	if p.without.FairShare {
		i.Workspace = ""
	}
	return i
}

// length estimates the answer's length in tokens; unknown where it cannot.
func (p *Pool) length(request *Request, quantile int, unknown float64) float64 {
	tokens, ok := p.lengths.Quantile(request.Class, request.Workspace, quantile)
	if !ok {
		tokens = unknown
	}
	if request.MaxTokens > 0 {
		tokens = min(tokens, float64(request.MaxTokens))
	}
	return tokens
}

// service estimates how long the request would run.
func (p *Pool) service(request *Request, quantile int) time.Duration {
	return p.speed.ServiceTime(request.PromptTokens, p.length(request, quantile, 0))
}

// latestStart is the latest start expected to meet the request's targets.
func (p *Pool) latestStart(request *Request) time.Time {
	if p.without.SlackOrder {
		return request.Arrived.Add(arrivalOrder)
	}
	latest := request.GiveUpAt
	if !request.AnswerBy.IsZero() {
		latest = startBy(request.Arrived, request.AnswerBy, p.service(request, estimate.P90))
	}
	if request.FirstTokenBy.IsZero() {
		return latest
	}
	prefill := p.speed.ServiceTime(request.PromptTokens, 0)
	first := startBy(request.Arrived, request.FirstTokenBy, prefill)
	if first.Before(latest) {
		return first
	}
	return latest
}

// uselessFrom is when a start is no longer expected to be of use.
func (p *Pool) uselessFrom(request *Request) time.Time {
	if p.without.LengthEstimates {
		return request.GiveUpAt
	}
	return startBy(request.Arrived, request.GiveUpAt, p.service(request, estimate.P90))
}

// startBy is when to start at the latest for an end at by.
func startBy(arrived, by time.Time, service time.Duration) time.Time {
	bound := time.Duration(estimateTrust * float64(by.Sub(arrived)))
	return by.Add(-min(service, bound))
}
