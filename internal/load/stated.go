package load

import (
	"fmt"
	"slices"
	"strings"

	"galenatrestle/internal/refusal"
)

// Outcomes that a trace can state, besides the refusal reasons. Several, joined
// by "|", state that any of them will do.
const (
	// StatedAnswered is the whole right answer.
	StatedAnswered = "answered"
	// StatedOnTarget is that within the line's time.
	StatedOnTarget = "on-target"
	// StatedNotRun is any refusal that says not-run.
	StatedNotRun = "not-run"
	// StatedUnknown is any refusal that says unknown.
	StatedUnknown = "unknown"
)

const statedSeparator = "|"

// checkStated returns an error for an outcome that nothing can match.
func checkStated(stated string) error {
	for one := range strings.SplitSeq(stated, statedSeparator) {
		switch one {
		case StatedAnswered, StatedOnTarget, StatedNotRun, StatedUnknown:
			continue
		}
		if !slices.Contains(refusal.Reasons(), refusal.Reason(one)) {
			return fmt.Errorf("field outcome: value %q is no outcome and no reason", one)
		}
	}
	return nil
}

// matches says whether the result is one of the stated outcomes.
func (r *Result) matches(stated string) bool {
	for one := range strings.SplitSeq(stated, statedSeparator) {
		if r.matchesOne(one) {
			return true
		}
	}
	return false
}

func (r *Result) matchesOne(stated string) bool {
	switch stated {
	case StatedAnswered:
		return r.answered()
	case StatedOnTarget:
		return r.answered() && r.Answer <= r.Request.Within
	case StatedNotRun, StatedUnknown:
		return r.Last.Ending == EndingRefused && r.Last.Outcome == stated
	default:
		return r.Last.Ending == EndingRefused && r.Last.Reason == stated
	}
}

// Difference is a request whose outcome is not the stated one.
type Difference struct {
	Request string `json:"request"`
	Stated  string `json:"stated"`
	Got     string `json:"got"`
}

// Differences lists the results that differ from their stated outcomes.
func Differences(results []*Result) []Difference {
	list := []Difference{}
	for _, r := range results {
		if r.matches(r.Request.Stated) {
			continue
		}
		got := r.label()
		if r.answered() {
			got = fmt.Sprintf("%s after %v", StatedAnswered, r.Answer)
		}
		if r.Last.Outcome != "" {
			got += " (" + r.Last.Outcome + ")"
		}
		list = append(list, Difference{Request: r.Request.Name, Stated: r.Request.Stated, Got: got})
	}
	return list
}
