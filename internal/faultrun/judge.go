package faultrun

import (
	"fmt"
	"strings"
	"time"

	"galenatrestle/internal/load"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/standin/engine"
)

// judge compares what callers were told with what was run.
type judge struct {
	seed  uint64
	truth *truth
	// endOf tells how the node at an entry address ended, if it did.
	endOf func(address string) (nodeEnd, bool)
	// restored is when the platform was set back, zero where it was not.
	restored time.Time
	// tiers holds the tier of each class.
	tiers map[string]int
}

// tries returns the violations that single tries show.
func (j *judge) tries(tries []*Try) []Violation {
	var list []Violation
	for _, t := range tries {
		for _, check := range []func(*Try) []Violation{j.answer, j.ending, j.refusal} {
			list = append(list, check(t)...)
		}
	}
	return list
}

// answer checks that the text is the caller's own, whole where it ended so.
func (j *judge) answer(t *Try) []Violation {
	if t.Ending == load.EndingWhole {
		if wrong := load.Wrong(&t.Offer.Request, t.Before+t.Text, j.seed); wrong != "" {
			return []Violation{violation(promiseWhole, t, wrong)}
		}
		return nil
	}
	if t.Offer.Stream.Service != nil || t.Text == "" {
		return nil
	}
	want := engine.ExpectedAnswerSeeded(t.Offer.Prompt, t.Offer.MaxTokens, j.seed)
	if !strings.HasPrefix(want, t.Before+t.Text) {
		return []Violation{violation(promiseWhole, t, "what came before the end is no beginning of the answer")}
	}
	return nil
}

// ending checks how the try ended.
func (j *judge) ending(t *Try) []Violation {
	switch {
	case t.Ending == load.EndingTruncated:
		return []Violation{violation(promiseWhole, t, "the stream ended cleanly without [DONE]")}
	case t.Ending == load.EndingGaveUp && (!t.Offer.Leaves || t.Resumed):
		return []Violation{violation(promiseTime, t, fmt.Sprintf("no end after %v", t.Ended.Sub(t.Sent)))}
	case t.Ending == load.EndingAborted:
		return j.aborted(t)
	}
	return nil
}

// aborted excuses what was sent to a killed node, or to an address that was
// kept for too long. An answer that isn't streamed is cut off by breaking the
// connection where its upstream is lost after it began.
func (j *judge) aborted(t *Try) []Violation {
	end, ended := j.endOf(t.Address)
	switch {
	case !ended && t.Offer.Stream.Whole && t.Status != 0:
		return nil
	case !ended:
		return []Violation{violation(promiseWhole, t, fmt.Sprintf("a node that serves broke the connection: %v", t.Err))}
	case end.killed || t.Stale:
		return nil
	default:
		after := t.Sent.Sub(end.at)
		detail := fmt.Sprintf("broken by a planned stop, sent %v after it began: %v", after, t.Err)
		return []Violation{violation(promiseStop, t, detail)}
	}
}

// refusal checks what a refusal says.
func (j *judge) refusal(t *Try) []Violation {
	var list []Violation
	if t.Ending == load.EndingRefused && t.Outcome == "" && !t.relayed() {
		list = append(list, violation(promiseNotRun, t, fmt.Sprintf("status %d says no outcome", t.Status)))
	}
	if t.Outcome == string(refusal.NotRun) && j.truth.byRequest[t.RequestID] > 0 {
		detail := fmt.Sprintf("said to be not run, has %d runs", j.truth.byRequest[t.RequestID])
		list = append(list, violation(promiseNotRun, t, detail))
	}
	if t.Reason == string(refusal.ShedForHigherTier) && j.tiers[t.Offer.Stream.Class] == 0 {
		list = append(list, violation(promiseTier, t, "shed for a higher tier, but none is above it"))
	}
	return list
}
