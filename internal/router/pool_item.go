package router

import (
	"time"

	"galenatrestle/internal/estimate"
)

const (
	// maxEstimateShare bounds an estimate to this fraction of the time limit, so that a wrong
	// one never refuses a request early.
	maxEstimateShare = 0.5
	// defaultAnswerTokens is the estimate for answers of unknown length.
	defaultAnswerTokens = 256
	// arrivalOrderOffset makes the latest start follow the order of arrival.
	arrivalOrderOffset = 24 * time.Hour
)

func (p *Pool) newItem(request Request, class *classState) *item {
	i := &item{
		Workspace:   request.Workspace,
		Arrived:     request.Arrived,
		LatestStart: p.latestStart(&request),
		ExpiresAt:   p.latestUsefulStart(&request),
		Cost:        float64(request.PromptTokens) + p.answerTokens(&request, estimate.Median, defaultAnswerTokens),
		Value:       &waitingRequest{request: request, class: class},
	}
	if p.disabled.FairShare {
		i.Workspace = ""
	}
	return i
}

// answerTokens estimates the answer length in tokens; unknown is returned without an estimate.
func (p *Pool) answerTokens(request *Request, quantile int, unknown float64) float64 {
	tokens, ok := p.lengths.Quantile(request.Class, request.Workspace, quantile)
	if !ok {
		tokens = unknown
	}
	if request.MaxTokens > 0 {
		tokens = min(tokens, float64(request.MaxTokens))
	}
	return tokens
}

func (p *Pool) serviceTime(request *Request, quantile int) time.Duration {
	return p.speed.ServiceTime(request.PromptTokens, p.answerTokens(request, quantile, 0))
}

// latestStart returns the latest start expected to meet the targets.
func (p *Pool) latestStart(request *Request) time.Time {
	if p.disabled.SlackOrder {
		return request.Arrived.Add(arrivalOrderOffset)
	}
	latest := request.GiveUpAt
	if !request.AnswerBy.IsZero() {
		latest = latestStartFor(request.Arrived, request.AnswerBy, p.serviceTime(request, estimate.P90))
	}
	if request.FirstTokenBy.IsZero() {
		return latest
	}
	prefill := p.speed.ServiceTime(request.PromptTokens, 0)
	first := latestStartFor(request.Arrived, request.FirstTokenBy, prefill)
	if first.Before(latest) {
		return first
	}
	return latest
}

// latestUsefulStart returns the latest start expected to finish before GiveUpAt.
func (p *Pool) latestUsefulStart(request *Request) time.Time {
	if p.disabled.LengthEstimates {
		return request.GiveUpAt
	}
	return latestStartFor(request.Arrived, request.GiveUpAt, p.serviceTime(request, estimate.P90))
}

func latestStartFor(arrived, deadline time.Time, service time.Duration) time.Time {
	bound := time.Duration(maxEstimateShare * float64(deadline.Sub(arrived)))
	return deadline.Add(-min(service, bound))
}
