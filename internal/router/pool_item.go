package router

import (
	"time"

	"galenatrestle/internal/estimate"
)

const (
	// maxEstimateShare bounds an estimated service time to this fraction of the time from arrival to
	// the deadline, so that a wrong estimate never refuses a request in the first half of its time.
	maxEstimateShare = 0.5
	// defaultAnswerTokens is the estimate for answers of unknown length.
	defaultAnswerTokens = 256
	// arrivalOrderOffset is added to the arrival time to get the latest start if SlackOrder is
	// disabled, so that the queue is ordered by arrival.
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

// answerTokens estimates the answer length in tokens, from fallback if no length is known, and at
// most MaxTokens.
func (p *Pool) answerTokens(request *Request, quantile int, fallback float64) float64 {
	tokens, ok := p.lengths.Quantile(request.Class, request.Workspace, quantile)
	if !ok {
		tokens = fallback
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
	latestForFirstToken := latestStartFor(request.Arrived, request.FirstTokenBy, prefill)
	if latestForFirstToken.Before(latest) {
		return latestForFirstToken
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

// latestStartFor returns the latest start for a service time to end by the deadline.
func latestStartFor(arrived, deadline time.Time, serviceTime time.Duration) time.Time {
	maxServiceTime := time.Duration(maxEstimateShare * float64(deadline.Sub(arrived)))
	return deadline.Add(-min(serviceTime, maxServiceTime))
}
