package faultrun

import (
	"fmt"
	"sort"

	"galenatrestle/internal/load"
)

// keys checks the calls that may not be repeated. Those first sent before the
// platform was set back are excused: it forgets claims then.
func (j *judge) keys(tries []*Try) []Violation {
	byKey := make(map[string][]*Try)
	for _, t := range tries {
		if key := t.Offer.IdempotencyKey; key != "" {
			byKey[key] = append(byKey[key], t)
		}
	}
	var list []Violation
	for key, own := range byKey {
		if !j.excused(own) {
			list = append(list, j.key(key, own)...)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Try.Sent.Before(list[b].Try.Sent) })
	return list
}

func (j *judge) excused(tries []*Try) bool {
	for _, t := range tries {
		if t.Sent.Before(j.restored) {
			return true
		}
	}
	return false
}

func (j *judge) key(key string, tries []*Try) []Violation {
	var list []Violation
	runs := j.truth.byKey[key]
	if runs > 1 {
		list = append(list, violation(promiseOnce, tries[0], fmt.Sprintf("key %s ran %d times", key, runs)))
	}
	answer := ""
	for _, t := range tries {
		if t.Ending != load.EndingWhole {
			continue
		}
		if runs == 0 {
			list = append(list, violation(promiseWhole, t, "answered, yet nothing ran"))
		}
		if answer != "" && t.Text != answer {
			list = append(list, violation(promiseOnce, t, "its callers got different answers"))
		}
		answer = t.Text
	}
	return list
}

// classes checks that every class got some answers.
func (j *judge) classes(tries []*Try) []Violation {
	offered, answered := make(map[string]int), make(map[string]int)
	for _, t := range tries {
		class := t.Offer.Stream.Class
		if t.Offer.Stream.Service != nil || t.Offer.Leaves {
			continue
		}
		offered[class]++
		if t.answered(j.seed) {
			answered[class]++
		}
	}
	var list []Violation
	for class, n := range offered {
		if n >= minOffered && answered[class] == 0 {
			list = append(list, Violation{Promise: promiseServed, Detail: fmt.Sprintf("class %s: none of %d answered", class, n)})
		}
	}
	return list
}

// leaving checks that engines got nothing new while all nodes knew that they
// were leaving.
func (j *judge) leaving(spans []span) []Violation {
	var list []Violation
	for _, known := range spans {
		for _, run := range j.truth.engines[known.engine] {
			if run.Started.After(known.from.Add(onTheWay)) && run.Started.Before(known.to) {
				detail := fmt.Sprintf("%s began %s at %s, %v after all nodes knew that it was leaving", engineName(known.engine),
					run.RequestID, run.Started.UTC().Format(clockFormat), run.Started.Sub(known.from))
				list = append(list, Violation{Promise: promiseLeaving, Detail: detail, RequestID: load.CallersID(run.RequestID)})
			}
		}
	}
	return list
}

// unheard checks that all nodes came to know of each listed leaving that
// nothing disturbed.
func unheard(events []Event, known map[int]int) []Violation {
	var list []Violation
	for _, e := range events {
		if e.Kind == ListedLeaving && known[e.Target] == 0 && !disturbed(e, events) {
			detail := fmt.Sprintf("%s: not all nodes knew of it before it ended", e)
			list = append(list, Violation{Promise: promiseLeaving, Detail: detail})
		}
	}
	return list
}

// disturbed says whether a schedule has events that keep nodes from knowing, or
// the watcher from seeing, that an engine is listed as leaving.
func disturbed(listed Event, events []Event) bool {
	for _, e := range events {
		switch e.Kind {
		case PlatformDown, PlatformSlow, PlatformStale, PlatformRestored, NodeKilled, NodeStopped, NodeCut:
			return true
		case EngineLeaving:
			return true
		}
	}
	return false
}
