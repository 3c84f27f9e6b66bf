package load

import (
	"fmt"

	"galenatrestle/internal/refusal"
)

// Violation is a broken promise.
type Violation struct {
	Promise string `json:"promise"`
	// Request is the request's name, empty where a whole class is meant.
	Request string `json:"request,omitempty"`
	Detail  string `json:"detail"`
}

// The promises that can be checked from outside.
const (
	promiseWhole   = "each caller receives the whole answer to its own request"
	promiseNotRun  = "what is said to be not run was not run"
	promiseOnce    = "a call that may not be repeated runs at most once"
	promiseServed  = "every class eventually gets served"
	promiseHighest = "a higher tier is never shed to serve a lower one"
)

// minOfferedToBeServed is the number of requests past which a class that got
// no answer at all counts as not served.
const minOfferedToBeServed = 20

// violations lists the broken promises; truth may be nil.
func violations(classes []ClassReport, results []*Result, truth *Truth) []Violation {
	list := classViolations(classes)
	highest := highestTier(classes)
	for _, result := range results {
		list = append(list, resultViolations(result, highest)...)
	}
	if truth != nil {
		list = append(list, truth.violations(results)...)
	}
	return list
}

func classViolations(classes []ClassReport) []Violation {
	list := []Violation{}
	for _, class := range classes {
		if class.Offered >= minOfferedToBeServed && class.Answered == 0 {
			detail := fmt.Sprintf("class %s: none of %d answered", class.Class, class.Offered)
			list = append(list, Violation{Promise: promiseServed, Detail: detail})
		}
	}
	return list
}

// highestTier returns the classes whose tier nothing is above.
func highestTier(classes []ClassReport) map[string]bool {
	top := classes[0].Tier
	for _, class := range classes {
		top = min(top, class.Tier)
	}
	highest := make(map[string]bool)
	for _, class := range classes {
		highest[class.Class] = class.Tier == top
	}
	return highest
}

func resultViolations(result *Result, highest map[string]bool) []Violation {
	var list []Violation
	add := func(promise, detail string) {
		list = append(list, Violation{Promise: promise, Request: result.Request.Name, Detail: detail})
	}
	switch {
	case result.Last.Ending == EndingTruncated:
		add(promiseWhole, "the stream ended cleanly without [DONE]")
	case result.Last.Ending == EndingWhole && result.Wrong != "":
		add(promiseWhole, fmt.Sprintf("request id %s after %s attempts: %s", result.Last.RequestID, result.Last.NodeAttempts, result.Wrong))
	}
	if result.Last.Reason == string(refusal.ShedForHigherTier) && highest[result.Request.Stream.Class] {
		add(promiseHighest, "shed for a higher tier, but none is above it")
	}
	return list
}
