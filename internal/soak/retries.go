package soak

import (
	"slices"
	"strings"
	"time"

	"galenatrestle/platform/platformtest"
)

// retryWindow is the sliding window in which repeated requests are counted.
const retryWindow = 10 * time.Second

// judgeRetries checks that all nodes together keep to the retry limit of their settings, whatever
// befalls them.
func (w *world) judgeRetries(calls []*sent) {
	requests := make(map[string][]time.Time)
	for _, s := range calls {
		service := serviceOf(s.path)
		requests[service] = append(requests[service], s.at)
	}
	byID := senders(calls)
	seen := make(map[string]bool)
	repeats := make(map[string][]time.Time)
	for _, a := range w.runs.Arrivals() {
		s := byID[a.ID]
		if s == nil {
			continue
		}
		if seen[a.ID] {
			service := serviceOf(s.path)
			repeats[service] = append(repeats[service], a.At)
		}
		seen[a.ID] = true
	}
	for service, at := range repeats {
		w.judgeRetryWindows(service, at, requests[service])
	}
}

// serviceOf is the service that runs the calls of a path.
func serviceOf(path string) string {
	if strings.HasPrefix(path, platformtest.StreamPath) {
		return "model"
	}
	return "ledger"
}

// judgeRetryWindows reports the first window with more repeats than allowed for the requests of
// that window, the one before it or one half of each, whichever has most.
func (w *world) judgeRetryWindows(service string, repeats, requests []time.Time) {
	slices.SortFunc(repeats, time.Time.Compare)
	slices.SortFunc(requests, time.Time.Compare)
	for _, from := range repeats {
		count := countWithin(repeats, from, retryWindow)
		recent := max(countWithin(requests, from, retryWindow), countWithin(requests, from.Add(-retryWindow/2), retryWindow), countWithin(requests, from.Add(-retryWindow), retryWindow))
		if allowed := retryRatio*float64(recent) + retryPer10s; float64(count) > allowed {
			w.violate("service %s got %d requests again in %s, for %d requests; allowed %.0f", service, count, retryWindow, recent, allowed)
			return
		}
	}
}

// countWithin counts the times, in their order, of the window that begins at from.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, from.Add(window), time.Time.Compare)
	return end - first
}
