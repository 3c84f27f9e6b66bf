package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// vocabulary is what prompts are made of.
var vocabulary = strings.Fields(`tab table nine split charge twice waiter round
	beer receipt torque sensor motor controller log fault battery brake lever
	bike courier cold start error code claim part shop member counter battery`)

// Plan returns the requests of the workload in the order of their times, at
// most MaxRequests. It is pure: the same workload gives the same plan.
func Plan(w *Workload) []Request {
	var requests []Request
	for i := range w.Streams {
		requests = append(requests, planStream(w, &w.Streams[i])...)
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return requests[:min(len(requests), w.MaxRequests)]
}

// Stamp gives the calls that may not be repeated their idempotency keys, which
// differ from those of other runs by the run's id.
func Stamp(requests []Request, runID string) {
	for i := range requests {
		service := requests[i].Stream.Service
		if service != nil && service.Unrepeatable {
			requests[i].IdempotencyKey = runID + "-" + requests[i].Name
		}
	}
}

func planStream(w *Workload, s *Stream) []Request {
	random := rand.New(rand.NewPCG(w.Seed, xxhash.Sum64String(s.Name)))
	prefix := words(random, s.SharedPrefix)
	var requests []Request
	for _, at := range arrivals(random, s.Rate, w.Duration.Std(), w.MaxRequests) {
		name := fmt.Sprintf("%s-%d", s.Name, len(requests)+1)
		request := Request{Name: name, At: at, Stream: s, Prefix: prefix}
		request.Prompt = prompt(random, s, name)
		request.MaxTokens = s.Answer.draw(random)
		if s.SamePrompt && len(requests) > 0 {
			request.Prompt = requests[0].Prompt
		}
		requests = append(requests, request)
	}
	return requests
}

// arrivals draws the times of a Poisson process with the stepwise rate.
func arrivals(random *rand.Rand, rate []RateStep, duration time.Duration, most int) []time.Duration {
	var times []time.Duration
	for i, step := range rate {
		end := duration
		if i+1 < len(rate) {
			end = min(duration, rate[i+1].At.Std())
		}
		if step.PerSecond == 0 {
			continue
		}
		at := step.At.Std()
		for len(times) < most {
			gap := random.ExpFloat64() / step.PerSecond * float64(time.Second)
			if gap >= float64(end-at) {
				break
			}
			at += time.Duration(gap)
			times = append(times, at)
		}
	}
	return times
}

// prompt begins with the request's name, so that no two answers are alike.
func prompt(random *rand.Rand, s *Stream, name string) string {
	if s.Service != nil {
		return fmt.Sprintf(`{"call":%q}`, name)
	}
	parts := []string{name}
	if s.Text != "" {
		parts = append(parts, s.Text)
	}
	if length := s.Prompt.draw(random); length > len(parts) {
		parts = append(parts, words(random, length-len(parts)))
	}
	return strings.Join(parts, " ")
}

func words(random *rand.Rand, count int) string {
	list := make([]string, count)
	for i := range list {
		list[i] = vocabulary[random.IntN(len(vocabulary))]
	}
	return strings.Join(list, " ")
}
